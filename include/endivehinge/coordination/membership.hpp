#ifndef ENDIVEHINGE_COORDINATION_MEMBERSHIP_HPP
#define ENDIVEHINGE_COORDINATION_MEMBERSHIP_HPP

#include <cstdint>  // uint64_t
#include <map>      // map
#include <optional> // optional
#include <vector>   // vector

#include <absl/random/bit_gen_ref.h> // BitGenRef

#include <endivehinge/coordination/byte_budget.hpp>
#include <endivehinge/coordination/domain_monitor.hpp>
#include <endivehinge/coordination/gossip_message.hpp>
#include <endivehinge/coordination/local_health.hpp>
#include <endivehinge/coordination/member_table.hpp>
#include <endivehinge/coordination/membership_event.hpp>
#include <endivehinge/coordination/membership_options.hpp>
#include <endivehinge/coordination/update_queue.hpp>

namespace endivehinge
{

/// @brief who is there: SWIM with suspicion, refutation, Lifeguard's local
///        health, anti-entropy, and failure domains that fall silent together
/// @note a pure state machine: no I/O, no clock, no threads. Each call is
///       given the time, never before an earlier one, and a random source;
///       what it wants to send and to tell is then taken from it
/// @note thread safety: one thread at a time
class membership
{
public:
    /// @param self this node; run and addresses are set
    /// @param options alike on all nodes
    membership(member self, membership_options options);

    /// @brief asks contacts for the members that they know
    /// @param contacts control addresses; own ones are passed over
    /// @note may be called again, such as when contacts change
    void join(std::vector<endpoint> const & contacts,
              time_point now,
              absl::BitGenRef random);

    /// @brief tells some members that this node leaves; it answers no more
    void leave(time_point now, absl::BitGenRef random);

    /// @brief says something new of this node; nothing if it is the same
    /// @param latest with the name and run given at the start
    void update_self(member const & latest);

    /// @brief announces the configuration version that this node holds
    /// @param version never before an earlier one; then ignored
    void set_configuration_version(object_version version,
                                   time_point now,
                                   absl::BitGenRef random);

    /// @brief does what is due; to be called several times a probe period
    void tick(time_point now, absl::BitGenRef random);

    /// @brief takes in a message; any content is harmless
    /// @param message as decoded
    /// @param from where it came from, and where an answer goes
    void receive(gossip_message const & message,
                 endpoint const & from,
                 time_point now,
                 absl::BitGenRef random);

    /// @brief the datagrams to be sent since the last call
    [[nodiscard]] std::vector<outgoing_gossip> take_messages();

    /// @brief the events since the last call
    [[nodiscard]] std::vector<membership_event> take_events();

    /// @brief this node and all others but the dead and the left
    [[nodiscard]] std::vector<member> members() const;

    /// @brief the state in which this node sees another, if it knows it
    [[nodiscard]] std::optional<member_state>
    state_of(node_name const & name) const;

    /// @brief this node as it says itself to be
    [[nodiscard]] member const & self() const;

    /// @brief the number of other members that take part
    [[nodiscard]] std::size_t size() const;

    /// @brief whether this node still collects the members
    [[nodiscard]] bool is_joining() const;

private:
    enum class probe_purpose
    {
        detect, // the regular probe of one member
        sample, // whether a failure domain answers at all
        reach,  // whether a silent domain answers again
        recall, // whether one that was declared dead is there after all
    };

    struct probe
    {
        std::uint64_t sequence = 0;
        probe_purpose purpose = probe_purpose::detect;
        member_index index = 0;
        node_name name;
        time_point sent;
        time_point ask_others;
        time_point ends;
        bool others_asked = false;
    };

    // a ping sent for another member
    struct relay
    {
        std::uint64_t sequence = 0;
        endpoint requester;
        std::uint64_t requester_sequence = 0;
        time_point ends;
    };

    // sending (membership_sending.cpp)
    gossip_message make_message(gossip_kind kind) const;
    void fill_updates(gossip_message & message, member_update const * first);
    void send(endpoint const & to, gossip_message message);
    void send_with_updates(endpoint const & to,
                           gossip_message message,
                           member_update const * first = nullptr);
    void announce_to_some(absl::BitGenRef random);
    std::size_t max_transmissions() const;
    std::optional<member_index> random_member(absl::BitGenRef random) const;
    member_update update_of(member_index index) const;

    // probing (membership_probing.cpp)
    void start_probe(member_index index, probe_purpose purpose, time_point now);
    std::optional<member_index> next_to_probe(absl::BitGenRef random);
    void probe_next(time_point now, absl::BitGenRef random);
    void check_probes(time_point now, absl::BitGenRef random);
    void ask_others(probe & waiting, absl::BitGenRef random);
    void
    probe_failed(probe const & failed, time_point now, absl::BitGenRef random);
    void doubt(probe const & failed, time_point now, absl::BitGenRef random);
    bool start_round(failure_domain const & name,
                     probe_purpose purpose,
                     std::size_t count,
                     member_index except,
                     time_point now,
                     absl::BitGenRef random);
    void check_domains(time_point now, absl::BitGenRef random);
    void check_silent(failure_domain const & name,
                      time_point now,
                      absl::BitGenRef random);
    void end_round(domain_status & domain, time_point now);
    void set_silent(domain_status & domain, bool silent, time_point now);
    void set_unreachable(member_index index, bool unreachable);
    void recall_gone(time_point now, absl::BitGenRef random);
    void suspect(member_index index, time_point now);
    void check_suspicions(time_point now, absl::BitGenRef random);
    void
    end_suspicion(member_index index, time_point now, absl::BitGenRef random);
    bool
    must_ask_domain(member_index index, time_point now, absl::BitGenRef random);
    duration suspicion_timeout() const;
    void wake_from_pause(time_point now, duration pause);

    // receiving (membership_receiving.cpp)
    bool apply(member_update const & update, time_point now, bool pass_on);
    void
    apply_all(gossip_message const & message, time_point now, bool pass_on);
    void refute(member_update const & claim);
    void hear(gossip_message const & message, time_point now);
    void on_change(member_index index, time_point now);
    void place_in_domain(member_index index,
                         std::optional<failure_domain> const & before);
    void tell_change(member_index index);
    void on_ping(gossip_message const & message, endpoint const & from);
    void on_acknowledgement(gossip_message const & message);
    void on_indirect_ping(gossip_message const & message,
                          endpoint const & from,
                          time_point now);
    void on_answered(probe const & answered);
    std::optional<member_update> doubt_of(gossip_message const & message) const;

    // anti-entropy (membership_sync.cpp)
    void synchronize(time_point now, absl::BitGenRef random);
    std::optional<endpoint> contact_to_ask(absl::BitGenRef random) const;
    void request_sync(endpoint const & to, gossip_kind kind);
    member_digest own_digest() const;
    void on_sync_request(gossip_message const & message,
                         endpoint const & from,
                         absl::BitGenRef random);
    void send_records(std::vector<std::size_t> const & buckets,
                      endpoint const & to,
                      absl::BitGenRef random);
    void on_sync_response(gossip_message const & message, time_point now);

    member_update own;
    membership_options options;
    object_version configuration;
    bool leaving = false;

    member_table table;
    domain_monitor domains;
    update_queue news;
    local_health health;
    byte_budget gossip_budget;
    byte_budget sync_budget;

    std::uint64_t last_sequence = 0;
    std::vector<probe> probes;
    std::vector<relay> relays;
    std::map<member_index, time_point> suspicions;

    // each member once, in random order, then anew
    std::vector<member_index> probe_order;
    std::size_t probe_cursor = 0;

    std::optional<time_point> last_tick;
    time_point next_probe;
    time_point next_sync;
    time_point next_recall;
    time_point next_cleanup;

    std::vector<endpoint> contacts;
    bool joining = false;
    // since the last request to synchronize
    std::size_t learned = 0;
    bool sync_answered = false;

    std::vector<outgoing_gossip> outbox;
    std::vector<membership_event> events;
};

} // namespace endivehinge

#endif
