#include <endivehinge/policy/allotment_directory.hpp>

#include <algorithm> // find_if, max, min, sort
#include <cstdint>   // uint64_t
#include <utility>   // pair

#include <absl/container/btree_set.h> // btree_set

#include <endivehinge/policy/allotment_owner.hpp>
#include <endivehinge/policy/allotment_timing.hpp>

namespace endivehinge
{
namespace
{

// no process starts, reads the store and grants tokens in less time
constexpr duration ended_proof_validity = std::chrono::milliseconds(500);
// proofs that follow each other within this time are one absence
constexpr duration ended_proof_gap = std::chrono::seconds(1);
// a node that did not answer is tried again after this time, and one that is
// lost
constexpr duration silence_memory = std::chrono::milliseconds(300);
constexpr duration lost_memory = std::chrono::seconds(2);
// from the first message without an answer to the end of the last one. Longer
// than most pauses of an event loop that has a tenth of a core
constexpr duration lost_after = std::chrono::milliseconds(200);
// nodes that vote for the owner of an account: an owner is found while four of
// them are gone without a word
constexpr std::size_t group_size = 9;
// remembered groups; bounds memory
constexpr std::size_t max_groups = 100000;

} // namespace

allotment_directory::allotment_directory(node_name own_node)
    : self(std::move(own_node))
{
}

void allotment_directory::set_nodes(node_list const & present)
{
    absl::btree_map<node_name, entry> next;
    for (auto const & [node, address, target, domain] : present)
    {
        auto & added = next[node];
        if (auto const known = this->nodes.find(node);
            known != this->nodes.end())
        {
            added = known->second;
            if (added.target != target)
            {
                added.departed_since.reset();
            }
        }
        added.address = address;
        added.target = target;
        added.domain = domain;
    }
    this->nodes = std::move(next);
    this->groups.clear();
}

void allotment_directory::record_refused(node_name const & node, time_point now)
{
    auto const found = this->nodes.find(node);
    if (found == this->nodes.end() || node == this->self)
    {
        return;
    }
    auto & known = found->second;
    if (now > known.refused_until + ended_proof_gap)
    {
        known.refused_since = now;
    }
    known.refused_until = now + ended_proof_validity;
    static_cast<void>(this->record_ended(node, ended_proof_validity, now));
}

bool allotment_directory::record_ended(node_name const & node,
                                       duration remaining,
                                       time_point now)
{
    auto const found = this->nodes.find(node);
    if (found == this->nodes.end() || node == this->self)
    {
        return false;
    }
    auto & known = found->second;
    auto const validity = std::min(remaining, ended_proof_validity);
    if (now - (ended_proof_validity - validity) <= known.last_alive)
    {
        return false;
    }
    bool const was_ended = now < known.ended_until;
    known.ended_until = std::max(known.ended_until, now + validity);
    return !was_ended;
}

void allotment_directory::record_alive(node_name const & node, time_point now)
{
    if (auto const found = this->nodes.find(node); found != this->nodes.end())
    {
        found->second.ended_until = time_point();
        found->second.refused_until = time_point();
        found->second.last_alive = now;
    }
}

void allotment_directory::record_answer(node_name const & node, time_point now)
{
    this->record_alive(node, now);
    if (auto const found = this->nodes.find(node); found != this->nodes.end())
    {
        found->second.unanswered_since.reset();
    }
}

void allotment_directory::record_silence(node_name const & node,
                                         time_point sent_at,
                                         time_point now)
{
    if (auto const found = this->nodes.find(node); found != this->nodes.end())
    {
        auto & known = found->second;
        known.unanswered_since = known.unanswered_since.value_or(sent_at);
        known.last_unanswered = now;
    }
}

// ---------------------------------------------------------------------------
// departures
// ---------------------------------------------------------------------------

bool allotment_directory::record_departure(allotment_departure const & stated,
                                           time_point now)
{
    auto const found = this->nodes.find(stated.node);
    if (found == this->nodes.end() || stated.node == this->self ||
        found->second.target != stated.target || found->second.departed_since)
    {
        return false;
    }
    found->second.departed_since = now;
    return true;
}

void allotment_directory::record_return(node_name const & node)
{
    if (auto const found = this->nodes.find(node); found != this->nodes.end())
    {
        found->second.departed_since.reset();
    }
}

std::vector<allotment_departure> allotment_directory::departures() const
{
    std::vector<allotment_departure> all;
    if (this->departure)
    {
        all.push_back(*this->departure);
    }
    for (auto const & [node, known] : this->nodes)
    {
        if (known.departed_since)
        {
            all.push_back({node, known.target});
        }
    }
    return all;
}

void allotment_directory::set_own_departure(
    std::optional<target_id> const & target)
{
    this->departure =
        target ? std::optional(allotment_departure{this->self, *target})
               : std::nullopt;
}

bool allotment_directory::has_own_departure() const
{
    return this->departure.has_value();
}

// ---------------------------------------------------------------------------
// groups
// ---------------------------------------------------------------------------

std::vector<node_name> const &
allotment_directory::group(account_name const & account)
{
    if (this->groups.size() >= max_groups)
    {
        this->groups.clear();
    }
    auto const [position, is_new] = this->groups.try_emplace(account);
    if (is_new)
    {
        position->second = this->choose_group(account);
    }
    return position->second;
}

std::vector<node_name>
allotment_directory::choose_group(account_name const & account) const
{
    std::vector<std::pair<std::uint64_t, node_name>> ranked;
    ranked.reserve(this->nodes.size());
    absl::btree_map<failure_domain, std::size_t> chosen_in;
    for (auto const & [node, known] : this->nodes)
    {
        ranked.emplace_back(allotment_owner_rank(account, node), node);
        chosen_in[known.domain] = 0;
    }
    std::sort(ranked.rbegin(), ranked.rend());
    // of an even number the majority is as large as of one node more
    bool const is_reduced = ranked.size() > 3 && ranked.size() % 2 == 0;
    auto const size =
        std::min(group_size, ranked.size() - (is_reduced ? 1 : 0));
    auto const most_in_domain =
        chosen_in.empty() ? size
                          : (size + chosen_in.size() - 1) / chosen_in.size();
    std::vector<node_name> chosen;
    absl::btree_set<node_name> members;
    // a second pass fills up from larger domains
    for (bool const is_spread : {true, false})
    {
        for (auto const & [rank, node] : ranked)
        {
            auto & count = chosen_in[this->nodes.at(node).domain];
            bool const has_room = !is_spread || count < most_in_domain;
            if (chosen.size() < size && has_room && members.insert(node).second)
            {
                chosen.push_back(node);
                count += 1;
            }
        }
    }
    return chosen;
}

std::optional<node_name>
allotment_directory::owner(account_name const & account, time_point now)
{
    auto const & members = this->group(account);
    auto const found = std::find_if(members.begin(),
                                    members.end(),
                                    [this, now](node_name const & node)
                                    {
                                        return !this->has_ended(node, now);
                                    });
    return found == members.end() ? std::nullopt : std::optional(*found);
}

// ---------------------------------------------------------------------------
// what is known of a node
// ---------------------------------------------------------------------------

allotment_directory::entry const *
allotment_directory::find(node_name const & node) const
{
    auto const found = this->nodes.find(node);
    return found == this->nodes.end() ? nullptr : &found->second;
}

bool allotment_directory::has_ended(node_name const & node,
                                    time_point now) const
{
    if (node == this->self)
    {
        return this->departure.has_value();
    }
    auto const * const known = this->find(node);
    return known != nullptr &&
           (now < known->ended_until || known->departed_since);
}

bool allotment_directory::is_seen_ended(node_name const & node,
                                        time_point now) const
{
    auto const * const known = this->find(node);
    return known != nullptr &&
           (now < known->refused_until || known->departed_since);
}

bool allotment_directory::is_without_votes(node_name const & node,
                                           time_point now) const
{
    auto const * const known = this->find(node);
    if (known == nullptr || !this->is_seen_ended(node, now))
    {
        return false;
    }
    auto const since = known->departed_since.value_or(known->refused_since);
    return now - since >= allotment_timing::vote_validity;
}

bool allotment_directory::is_reachable(node_name const & node,
                                       time_point now) const
{
    auto const * const known = this->find(node);
    if (known == nullptr || this->has_ended(node, now))
    {
        return false;
    }
    auto const pause = this->is_lost(node) ? lost_memory : silence_memory;
    return !known->unanswered_since || now - known->last_unanswered >= pause;
}

bool allotment_directory::is_lost(node_name const & node) const
{
    auto const * const known = this->find(node);
    return known != nullptr && known->unanswered_since &&
           known->last_unanswered - *known->unanswered_since >= lost_after;
}

std::vector<allotment_directory::ended_node>
allotment_directory::ended_nodes(time_point now) const
{
    std::vector<ended_node> ended;
    for (auto const & [node, known] : this->nodes)
    {
        if (now < known.refused_until)
        {
            ended.push_back({node, known.refused_until - now});
        }
    }
    return ended;
}

std::optional<endpoint>
allotment_directory::address(node_name const & node) const
{
    auto const * const known = this->find(node);
    return known == nullptr ? std::nullopt : std::optional(known->address);
}

} // namespace endivehinge
