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

/// @brief group membership by the SWIM protocol with suspicion, refutation,
///        Lifeguard's local health score and anti-entropy; members of a
///        failure domain that stops responding as a whole become unreachable
///        instead of being declared dead
/// @note A pure state machine without I/O, clock or threads. Each call receives
///       the current time, which must not decrease, and a random source;
///       afterwards the caller collects messages to send and events.
/// @note thread safety: none; callers synchronize access
class membership
{
public:
    /// @param self this node, with incarnation and addresses set
    /// @param options equal on all nodes
    membership(member self, membership_options options);

    /// @brief starts requesting the member list from contacts
    /// @param contacts control addresses; this node's own address is skipped
    /// @note May be called again, for instance when the contacts change.
    void join(std::vector<endpoint> const & contacts,
              time_point now,
              absl::BitGenRef random);

    /// @brief announces to some members that this node leaves; afterwards it
    ///        ignores messages
    void leave(time_point now, absl::BitGenRef random);

    /// @brief publishes a new record of this node, unless it is unchanged
    /// @param latest record; its name and incarnation are ignored
    void update_self(member const & latest);

    /// @brief announces this node's configuration version
    /// @param version ignored if not greater than the previous one
    void set_configuration_version(object_version version,
                                   time_point now,
                                   absl::BitGenRef random);

    /// @brief executes due actions; to be called several times per probe period
    void tick(time_point now, absl::BitGenRef random);

    /// @brief processes a message; accepts untrusted content
    /// @param message as decoded
    /// @param from address of the sender, to which responses are sent
    void receive(gossip_message const & message,
                 endpoint const & from,
                 time_point now,
                 absl::BitGenRef random);

    /// @brief returns the messages to send, and clears them
    [[nodiscard]] std::vector<outgoing_gossip> take_messages();

    /// @brief returns the events since the last call, and clears them
    [[nodiscard]] std::vector<membership_event> take_events();

    /// @brief returns this node and all members that have neither left nor died
    [[nodiscard]] std::vector<member> members() const;

    /// @brief returns a member's state in this node's view, or nothing if the
    ///        member is unknown
    [[nodiscard]] std::optional<member_state>
    state_of(node_name const & name) const;

    /// @brief returns this node's own record
    [[nodiscard]] member const & self() const;

    /// @brief returns the number of other members that have neither left nor
    ///        died
    [[nodiscard]] std::size_t size() const;

    /// @brief whether this node is still collecting the member list
    [[nodiscard]] bool is_joining() const;

private:
    enum class probe_purpose
    {
        failure_detection, // the periodic probe of one member
        domain_check,      // whether a failure domain responds at all
        domain_recovery,   // whether an unresponsive domain responds again
        refutation, // informs a suspected or dead member so that it can refute
    };

    struct probe
    {
        std::uint64_t sequence = 0;
        probe_purpose purpose = probe_purpose::failure_detection;
        member_index index = 0;
        node_name name;
        time_point sent_at;
        time_point indirect_ping_at;
        time_point deadline;
        bool indirect_pings_sent = false;
    };

    // a ping sent on behalf of another member
    struct relay
    {
        std::uint64_t sequence = 0;
        endpoint requester;
        std::uint64_t requester_sequence = 0;
        time_point deadline;
    };

    // sending (membership_sending.cpp)
    gossip_message make_message(gossip_kind kind) const;
    void add_updates(gossip_message & message,
                     member_update const * mandatory_update);
    void send(endpoint const & to, gossip_message message);
    void send_with_updates(endpoint const & to,
                           gossip_message message,
                           member_update const * mandatory_update = nullptr);
    void announce_to_random_members(absl::BitGenRef random);
    std::size_t max_transmissions() const;
    std::optional<member_index> random_member(absl::BitGenRef random) const;
    member_update update_of(member_index index) const;

    // probing (membership_probing.cpp)
    void start_probe(member_index index, probe_purpose purpose, time_point now);
    std::optional<member_index> next_probe_target(absl::BitGenRef random);
    void probe_next_member(time_point now, absl::BitGenRef random);
    void expire_probes(time_point now, absl::BitGenRef random);
    void send_indirect_pings(probe & pending, absl::BitGenRef random);
    void on_probe_timeout(probe const & failed,
                          time_point now,
                          absl::BitGenRef random);
    void check_failed_member(probe const & failed,
                             time_point now,
                             absl::BitGenRef random);
    bool start_probe_round(failure_domain const & name,
                           probe_purpose purpose,
                           std::size_t count,
                           member_index excluded,
                           time_point now,
                           absl::BitGenRef random);
    void update_probe_rounds(time_point now, absl::BitGenRef random);
    void start_recovery_round(failure_domain const & name,
                              time_point now,
                              absl::BitGenRef random);
    void finish_probe_round(domain_status & domain, time_point now);
    void set_domain_unresponsive(domain_status & domain,
                                 bool unresponsive,
                                 time_point now);
    void set_unreachable(member_index index, bool unreachable);
    void probe_dead_member(time_point now, absl::BitGenRef random);
    void suspect(member_index index, time_point now);
    void expire_suspicions(time_point now, absl::BitGenRef random);
    void resolve_suspicion(member_index index,
                           time_point now,
                           absl::BitGenRef random);
    bool awaits_domain_check(member_index index,
                             time_point now,
                             absl::BitGenRef random);
    duration suspicion_timeout() const;
    void resume_after_pause(time_point now, duration pause);

    // receiving (membership_receiving.cpp)
    bool apply(member_update const & update, time_point now, bool forward);
    void
    apply_updates(gossip_message const & message, time_point now, bool forward);
    void refute(member_update const & claim);
    void process_sender(gossip_message const & message, time_point now);
    void on_change(member_index index, time_point now);
    void update_domain_members(
        member_index index,
        std::optional<failure_domain> const & previous_domain);
    void emit_member_changed(member_index index);
    void on_ping(gossip_message const & message, endpoint const & from);
    void on_acknowledgement(gossip_message const & message);
    void on_indirect_ping(gossip_message const & message,
                          endpoint const & from,
                          time_point now);
    void on_probe_answered(probe const & answered);
    std::optional<member_update>
    refutable_update(gossip_message const & message) const;

    // anti-entropy (membership_sync.cpp)
    void synchronize(time_point now, absl::BitGenRef random);
    std::optional<endpoint> choose_sync_contact(absl::BitGenRef random) const;
    void request_sync(endpoint const & to, gossip_kind kind);
    member_digest local_digest() const;
    void on_sync_request(gossip_message const & message,
                         endpoint const & from,
                         absl::BitGenRef random);
    void send_records(std::vector<std::size_t> const & buckets,
                      endpoint const & to,
                      absl::BitGenRef random);
    void on_sync_response(gossip_message const & message, time_point now);

    member_update own_update;
    membership_options options;
    object_version configuration;
    bool leaving = false;

    member_table table;
    domain_monitor domains;
    update_queue pending_updates;
    local_health health;
    byte_budget gossip_budget;
    byte_budget sync_budget;

    std::uint64_t last_sequence = 0;
    std::vector<probe> probes;
    std::vector<relay> relays;
    std::map<member_index, time_point> suspicions;

    // all members in random order, reshuffled for each pass
    std::vector<member_index> probe_order;
    std::size_t probe_cursor = 0;

    std::optional<time_point> last_tick;
    time_point next_probe;
    time_point next_sync;
    time_point next_dead_probe;
    time_point next_cleanup;

    std::vector<endpoint> contacts;
    bool joining = false;
    // since the last synchronization request
    std::size_t updates_applied = 0;
    bool sync_response_received = false;

    std::vector<outgoing_gossip> outbox;
    std::vector<membership_event> events;
};

} // namespace endivehinge

#endif
