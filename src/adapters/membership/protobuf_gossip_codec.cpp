#include <endivehinge/detail/membership/protobuf_gossip_codec.hpp>

#include <utility> // move

#include <arpa/inet.h> // inet_ntop, inet_pton

#include <coordination.pb.h>
#include <endivehinge/coordination/datagram_packer.hpp>
#include <endivehinge/coordination/member_digest.hpp>

namespace endivehinge::detail
{
namespace
{

constexpr std::size_t max_name_bytes = 255;
constexpr std::uint32_t max_port = 65535;

std::string pack_host(std::string const & host)
{
    in6_addr address{};
    if (inet_pton(AF_INET, host.c_str(), &address) == 1)
    {
        return {reinterpret_cast<char const *>(&address), sizeof(in_addr)};
    }
    if (inet_pton(AF_INET6, host.c_str(), &address) == 1)
    {
        return {reinterpret_cast<char const *>(&address), sizeof(in6_addr)};
    }
    return {};
}

std::optional<std::string> unpack_host(std::string const & packed)
{
    std::string text(INET6_ADDRSTRLEN, '\0');
    int family = AF_INET;
    if (packed.size() == sizeof(in6_addr))
    {
        family = AF_INET6;
    }
    else if (packed.size() != sizeof(in_addr))
    {
        return std::nullopt;
    }
    if (inet_ntop(family, packed.data(), text.data(), text.size()) == nullptr)
    {
        return std::nullopt;
    }
    text.resize(text.find('\0'));
    return text;
}

std::optional<endpoint> unpack_endpoint(std::string const & host,
                                        std::uint32_t port)
{
    auto text = unpack_host(host);
    if (!text.has_value() || port > max_port)
    {
        return std::nullopt;
    }
    return endpoint{*std::move(text), static_cast<std::uint16_t>(port)};
}

std::uint32_t place_of(std::string const & name, wire::gossip & target)
{
    for (int i = 0; i < target.names_size(); ++i)
    {
        if (target.names(i) == name)
        {
            return static_cast<std::uint32_t>(i);
        }
    }
    target.add_names(name);
    return static_cast<std::uint32_t>(target.names_size() - 1);
}

void write_record(member_update const & source,
                  wire::gossip & message,
                  wire::member_record & target)
{
    member const & record = *source.record;
    target.set_name(record.name.value());
    target.set_incarnation(record.incarnation_number.value());
    target.set_sequence(record.sequence);
    target.set_state(static_cast<std::uint32_t>(source.state));
    target.set_service(place_of(record.service.value(), message));
    target.set_failure_domain(place_of(record.domain.value(), message));
    target.set_region(place_of(record.region.value(), message));
    target.set_control_host(pack_host(record.control_address.host));
    if (record.peer_address.host != record.control_address.host)
    {
        target.set_peer_host(pack_host(record.peer_address.host));
    }
    target.set_control_port(record.control_address.port);
    target.set_peer_port(record.peer_address.port);
    target.set_slots(record.slots);
    target.set_accepts_work(record.accepts_work);
}

std::optional<member_state> read_state(std::uint32_t number)
{
    switch (auto const state = static_cast<member_state>(number))
    {
    case member_state::alive:
    case member_state::suspect:
    case member_state::left:
    case member_state::dead:
        return state;
    case member_state::unreachable:
        // only ever a node's own view
        break;
    }
    return std::nullopt;
}

bool is_name(std::string const & text)
{
    return !text.empty() && text.size() <= max_name_bytes;
}

bool has_places(wire::member_record const & source,
                wire::gossip const & message)
{
    auto const count = static_cast<std::uint32_t>(message.names_size());
    return source.service() < count && source.failure_domain() < count &&
           source.region() < count;
}

std::string const & name_at(wire::gossip const & message, std::uint32_t place)
{
    return message.names(static_cast<int>(place));
}

std::optional<member_update> read_record(wire::member_record const & source,
                                         wire::gossip const & message)
{
    auto const state = read_state(source.state());
    auto const control =
        unpack_endpoint(source.control_host(), source.control_port());
    auto const peer = unpack_endpoint(
        source.peer_host().empty() ? source.control_host() : source.peer_host(),
        source.peer_port());
    if (!state.has_value() || !control.has_value() || !peer.has_value() ||
        !is_name(source.name()) || !has_places(source, message))
    {
        return std::nullopt;
    }
    member record;
    record.name = node_name(source.name());
    record.incarnation_number = incarnation(source.incarnation());
    record.sequence = source.sequence();
    record.service = service_name(name_at(message, source.service()));
    record.domain = failure_domain(name_at(message, source.failure_domain()));
    record.region = region_name(name_at(message, source.region()));
    record.control_address = *control;
    record.peer_address = *peer;
    record.slots = source.slots();
    record.accepts_work = source.accepts_work();
    return member_update{std::make_shared<member const>(std::move(record)),
                         *state};
}

std::optional<gossip_message> refuse(char const * detail, failure & reason)
{
    reason = {failure_id::invalid_message, "read datagram", {}, detail};
    return std::nullopt;
}

bool read_updates(wire::gossip const & source, gossip_message & target)
{
    for (auto const & record : source.updates())
    {
        auto update = read_record(record, source);
        if (!update.has_value())
        {
            return false;
        }
        target.updates.push_back(*std::move(update));
    }
    return true;
}

} // namespace

std::string protobuf_gossip_codec::encode(gossip_message const & message) const
{
    wire::gossip target;
    target.set_kind(static_cast<std::uint32_t>(message.kind));
    target.set_sequence(message.sequence);
    write_record(message.sender, target, *target.mutable_sender());
    target.set_subject(message.subject.value());
    target.set_subject_host(pack_host(message.subject_address.host));
    target.set_subject_port(message.subject_address.port);
    target.set_configuration(message.configuration.value());
    for (auto const & update : message.updates)
    {
        write_record(update, target, *target.add_updates());
    }
    target.mutable_digest()->Add(message.digest.begin(), message.digest.end());
    return target.SerializeAsString();
}

std::optional<gossip_message>
protobuf_gossip_codec::decode(std::string_view datagram, failure & reason) const
{
    wire::gossip source;
    if (datagram.size() > max_datagram_bytes)
    {
        return refuse("too large", reason);
    }
    if (!source.ParseFromArray(datagram.data(),
                               static_cast<int>(datagram.size())))
    {
        return refuse("no message", reason);
    }
    auto sender = read_record(source.sender(), source);
    if (!sender.has_value())
    {
        return refuse("no sender", reason);
    }
    if (source.kind() < static_cast<std::uint32_t>(gossip_kind::ping) ||
        source.kind() >
            static_cast<std::uint32_t>(gossip_kind::sync_confirmation))
    {
        return refuse("unknown kind", reason);
    }
    gossip_message target;
    target.kind = static_cast<gossip_kind>(source.kind());
    target.sequence = source.sequence();
    target.sender = *std::move(sender);
    target.subject = node_name(source.subject());
    target.configuration = object_version(source.configuration());
    if (!source.subject_host().empty())
    {
        auto address =
            unpack_endpoint(source.subject_host(), source.subject_port());
        if (!address.has_value())
        {
            return refuse("wrong subject address", reason);
        }
        target.subject_address = *std::move(address);
    }
    if (!read_updates(source, target))
    {
        return refuse("wrong record", reason);
    }
    target.digest.assign(source.digest().begin(), source.digest().end());
    return target;
}

} // namespace endivehinge::detail
