#include <endivehinge/detail/gateway/response_matcher.hpp>

#include <algorithm> // none_of

#include <absl/hash/hash.h> // Hash

namespace endivehinge::detail
{

namespace http = boost::beast::http;

namespace
{

// a request that was refused is sent again within its time limit or, by its
// client, some seconds later
constexpr duration error_response_memory = std::chrono::seconds(30);
// a connection with more error responses in that time is not used again; bounds
// the memory
constexpr std::size_t max_error_responses = 256;

std::uint64_t hash_of(std::string const & id)
{
    return absl::Hash<std::string>{}(id);
}

bool is_error(response_message const & message)
{
    return message.result_int() >=
           static_cast<unsigned>(http::status::bad_request);
}

} // namespace

bool response_matcher::can_identify(call_options const & options,
                                    time_point now) const
{
    if (options.id_field.empty() || !options.id_value)
    {
        return true;
    }
    auto const id_hash = hash_of(*options.id_value);
    return std::none_of(this->error_responses.begin(),
                        this->error_responses.end(),
                        [id_hash, now](error_response const & earlier)
                        {
                            return earlier.id_hash == id_hash &&
                                   now - earlier.received <=
                                       error_response_memory;
                        });
}

bool response_matcher::accept(call_options const & options,
                              response_message const & message,
                              time_point now)
{
    if (http::to_status_class(message.result()) ==
        http::status_class::informational)
    {
        return false;
    }
    if (options.id_field.empty())
    {
        return true;
    }
    auto const response_id = std_view(message[options.id_field]);
    if (!options.id_value)
    {
        return response_id.empty();
    }
    if (response_id.empty())
    {
        if (!this->accepts_unidentified(message))
        {
            return false;
        }
        this->accepted_unidentified = true;
    }
    else if (response_id != *options.id_value)
    {
        return false;
    }
    this->accepted_any = true;
    if (is_error(message))
    {
        this->record_error(*options.id_value, now);
    }
    return true;
}

bool response_matcher::is_reusable() const
{
    return !this->accepted_unidentified &&
           this->error_responses.size() <= max_error_responses;
}

bool response_matcher::accepts_unidentified(
    response_message const & message) const
{
    // All earlier responses on this connection had an ID, so that a copy of one
    // has it, too. Servers send refusals without one; other bytes without one
    // belong to no request.
    return !this->accepted_any || is_error(message);
}

void response_matcher::record_error(std::string const & id, time_point now)
{
    while (!this->error_responses.empty() &&
           now - this->error_responses.front().received > error_response_memory)
    {
        this->error_responses.pop_front();
    }
    this->error_responses.push_back({hash_of(id), now});
}

} // namespace endivehinge::detail
