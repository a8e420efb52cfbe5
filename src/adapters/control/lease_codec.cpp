#include <endivehinge/detail/control/lease_codec.hpp>

#include <utility> // move

namespace endivehinge::detail
{
namespace
{

using std::chrono::duration_cast;
using std::chrono::milliseconds;

template <class Repeated>
void write_owners(std::vector<owner_identity> const & source, Repeated & out)
{
    for (auto const & one : source)
    {
        auto & next = *out.Add();
        next.set_name(one.name.value());
        next.set_incarnation(one.incarnation_number.value());
    }
}

owner_identity read_owner(wire::key_owner const & source)
{
    return {node_name(source.name()), incarnation(source.incarnation())};
}

template <class Repeated>
std::vector<owner_identity> read_owners(Repeated const & source)
{
    std::vector<owner_identity> owners;
    owners.reserve(static_cast<std::size_t>(source.size()));
    for (auto const & one : source)
    {
        owners.push_back(read_owner(one));
    }
    return owners;
}

void write_assignment(assignment const & source, wire::key_assignment & out)
{
    out.set_epoch(source.number.value());
    out.mutable_keeper()->set_name(source.leader.name.value());
    out.mutable_keeper()->set_incarnation(
        source.leader.incarnation_number.value());
    out.set_renewals(source.renewals);
    write_owners(source.members, *out.mutable_members());
    write_owners(source.previous, *out.mutable_previous());
}

assignment read_assignment(wire::key_assignment const & source)
{
    assignment result;
    result.number = epoch(source.epoch());
    result.leader = read_owner(source.keeper());
    result.renewals = source.renewals();
    result.members = read_owners(source.members());
    result.previous = read_owners(source.previous());
    return result;
}

std::uint64_t to_unix_ms(wall_time when)
{
    return static_cast<std::uint64_t>(
        duration_cast<milliseconds>(when.time_since_epoch()).count());
}

wall_time from_unix_ms(std::uint64_t count)
{
    return wall_time(milliseconds(count));
}

void write_answer(http_response const & source, wire::idempotency_record & out)
{
    out.set_status(static_cast<std::uint32_t>(source.status));
    out.set_body(source.body);
    for (auto const & field : source.headers.all())
    {
        auto & next = *out.add_headers();
        next.set_name(field.name);
        next.set_value(field.value);
    }
}

wire::idempotency_record write_record(idempotency_record const & source,
                                      std::size_t greatest_bytes)
{
    wire::idempotency_record out;
    out.set_key(source.key.value());
    out.set_recorded_unix_ms(to_unix_ms(source.recorded));
    out.set_fingerprint(source.fingerprint.value());
    out.set_state(static_cast<std::uint32_t>(key_state::indeterminate));
    bool const has_answer = source.state == key_state::finished &&
                            source.result != nullptr &&
                            source.result->answer.body.size() <= greatest_bytes;
    if (has_answer)
    {
        out.set_state(static_cast<std::uint32_t>(key_state::finished));
        write_answer(source.result->answer, out);
    }
    return out;
}

idempotency_record read_record(wire::idempotency_record const & source)
{
    idempotency_record record;
    record.key = idempotency_key(source.key());
    record.fingerprint = request_fingerprint(source.fingerprint());
    record.recorded = from_unix_ms(source.recorded_unix_ms());
    if (source.state() != static_cast<std::uint32_t>(key_state::finished))
    {
        return record;
    }
    record.state = key_state::finished;
    http_response answer;
    answer.status = static_cast<int>(source.status());
    answer.body = source.body();
    for (auto const & field : source.headers())
    {
        answer.headers.add(field.name(), field.value());
    }
    record.result =
        std::make_shared<outcome const>(outcome::answered(std::move(answer)));
    return record;
}

wire::handover_request write_head(service_name const & service,
                                  record_handover const & source)
{
    wire::handover_request out;
    out.set_service(service.value());
    out.set_epoch(source.number.value());
    out.set_from(source.from.name.value());
    out.set_from_incarnation(source.from.incarnation_number.value());
    out.set_to(source.to.name.value());
    out.set_to_incarnation(source.to.incarnation_number.value());
    return out;
}

} // namespace

wire::lease_request encode_renewal(service_name const & service,
                                   lease_renewal const & source)
{
    wire::lease_request out;
    out.set_service(service.value());
    out.set_node(source.node.name.value());
    out.set_incarnation(source.node.incarnation_number.value());
    out.set_epoch(source.adopted_epoch.value());
    out.set_leaving(source.leaving);
    return out;
}

std::optional<lease_renewal> decode_renewal(wire::lease_request const & source)
{
    if (source.node().empty())
    {
        return std::nullopt;
    }
    lease_renewal result;
    result.node = {node_name(source.node()), incarnation(source.incarnation())};
    result.adopted_epoch = epoch(source.epoch());
    result.leaving = source.leaving();
    return result;
}

wire::lease_response encode_grant(lease_grant const & source)
{
    wire::lease_response out;
    out.set_granted(source.lease_duration.has_value());
    out.set_from_keeper(source.from_leader);
    out.set_reason(source.reason);
    if (source.lease_duration.has_value())
    {
        // rounded down, so that the lease ends no later
        out.set_duration_ms(static_cast<std::uint64_t>(
            duration_cast<milliseconds>(*source.lease_duration).count()));
    }
    if (source.current.has_value())
    {
        out.set_epoch(source.current->number.value());
        write_assignment(*source.current, *out.mutable_current());
    }
    return out;
}

lease_grant decode_grant(wire::lease_response const & source)
{
    lease_grant result;
    result.from_leader = source.from_keeper();
    result.reason = source.reason();
    if (source.granted())
    {
        result.lease_duration = milliseconds(source.duration_ms());
    }
    if (source.has_current())
    {
        result.current = read_assignment(source.current());
    }
    return result;
}

std::vector<wire::handover_request>
encode_handover(service_name const & service,
                record_handover const & source,
                std::size_t greatest_bytes)
{
    std::vector<wire::handover_request> messages;
    messages.push_back(write_head(service, source));
    std::size_t bytes = 0;
    for (auto const & record : source.records)
    {
        auto next = write_record(record, greatest_bytes);
        std::size_t const size = next.ByteSizeLong();
        if (bytes > 0 && bytes + size > greatest_bytes)
        {
            messages.push_back(write_head(service, source));
            bytes = 0;
        }
        bytes += size;
        *messages.back().add_records() = std::move(next);
    }
    messages.back().set_complete(source.is_complete);
    if (source.complete_since.has_value())
    {
        // rounded up, so that no key is thought to be on record
        messages.back().set_whole_since_unix_ms(
            to_unix_ms(*source.complete_since) + 1);
    }
    return messages;
}

std::optional<record_handover>
decode_handover(wire::handover_request const & source, failure & reason)
{
    if (source.from().empty() || source.to().empty())
    {
        reason = {failure_id::invalid_message,
                  "read handover",
                  source.from(),
                  "it does not name both nodes"};
        return std::nullopt;
    }
    record_handover result;
    result.from = {node_name(source.from()),
                   incarnation(source.from_incarnation())};
    result.to = {node_name(source.to()), incarnation(source.to_incarnation())};
    result.number = epoch(source.epoch());
    result.is_complete = source.complete();
    if (source.whole_since_unix_ms() > 0)
    {
        result.complete_since = from_unix_ms(source.whole_since_unix_ms());
    }
    for (auto const & record : source.records())
    {
        result.records.push_back(read_record(record));
    }
    return result;
}

} // namespace endivehinge::detail
