#include <endivehinge/detail/node/peer_handler.hpp>

#include <utility> // move

#include <endivehinge/core/header_names.hpp>
#include <endivehinge/detail/node/load_header.hpp>
#include <endivehinge/detail/node/outcome_query.hpp>

namespace endivehinge::detail
{
namespace
{

constexpr int status_bad_request = 400;
constexpr duration retry_elsewhere = duration(0);

outcome refuse(failure_id id, char const * detail)
{
    return outcome::rejected({id, "take from node", {}, detail},
                             retry_elsewhere);
}

} // namespace

peer_handler::peer_handler(local_executor & local,
                           keyed_router & owning,
                           key_ownership & epochs,
                           execution_log & records,
                           clock const & source)
    : executor(local)
    , keyed(owning)
    , ownership(epochs)
    , log(records)
    , time(source)
{
}

http_response peer_handler::handle(http_request message,
                                   http_connection connection)
{
    if (is_outcome_query(message))
    {
        return this->answer_query(message);
    }
    failure reason;
    auto const hop =
        decode_hop_request(std::move(message), this->time.now(), reason);
    if (!hop.has_value())
    {
        return encode_hop_outcome(
            outcome::rejected(std::move(reason), retry_elsewhere));
    }
    time_point const start = this->time.now();
    http_response response =
        encode_hop_outcome(this->execute(*hop, connection.socket));
    response.headers.set(
        header_names::load,
        encode_load_report({this->executor.load(), this->time.now() - start}));
    return response;
}

http_response peer_handler::answer_query(http_request const & message)
{
    auto const query = decode_outcome_query(message);
    if (!query.has_value())
    {
        return {status_bad_request, {}, {}};
    }
    return encode_execution_report(this->log.query(
        query->try_id, query->addressed_incarnation, query->wait_limit));
}

outcome peer_handler::execute(hop_request const & hop, int caller_socket)
{
    execution_report const report = this->log.begin(hop.try_id);
    switch (report.state)
    {
    case execution_state::started:
        return this->start(hop, caller_socket);
    case execution_state::finished:
        return *report.result;
    case execution_state::fenced:
        return refuse(failure_id::fenced, "the try was given up before");
    case execution_state::full:
        return refuse(failure_id::overloaded, "no room for a record");
    default:
        return outcome::indeterminate({failure_id::outcome_unknown,
                                       "take from node",
                                       {},
                                       "the try came before"});
    }
}

outcome peer_handler::start(hop_request const & hop, int caller_socket)
{
    outcome result = this->take_part(hop, caller_socket);
    this->log.finish(hop.try_id, result);
    return result;
}

outcome peer_handler::take_part(hop_request const & hop, int caller_socket)
{
    request const & content = hop.content;
    if (hop.role == hop_role::key_owner)
    {
        return this->keyed.execute_as_owner(content);
    }
    if (content.owner_epoch.has_value() &&
        !this->ownership.admit_epoch(*content.owner_epoch))
    {
        return refuse(failure_id::stale_epoch, "the key has a newer owner");
    }
    // one that may not be repeated runs to its end: if the connection was
    // lost, its sender asks for the outcome
    int const watched = content.repeatable ? caller_socket : -1;
    return this->executor.execute(content, watched);
}

} // namespace endivehinge::detail
