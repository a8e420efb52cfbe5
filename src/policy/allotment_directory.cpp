#include <endivehinge/policy/allotment_directory.hpp>

#include <algorithm> // find, find_if, min, sort
#include <cstdint>   // uint64_t
#include <utility>   // pair

#include <absl/container/btree_set.h> // btree_set

#include <endivehinge/policy/allotment_owner.hpp>
#include <endivehinge/policy/allotment_timing.hpp>

namespace endivehinge
{
namespace
{

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
// remembered processes of one node. Messages of earlier ones than these have
// ended with their connections; bounds memory
constexpr std::size_t max_replaced = 4;
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

void allotment_directory::record_process(allotment_process const & process)
{
    auto const found = this->nodes.find(process.node);
    if (found == this->nodes.end() ||
        found->second.process == process.process || this->is_replaced(process))
    {
        return;
    }
    auto & known = found->second;
    if (known.process != 0)
    {
        known.replaced.push_back(known.process);
        // what the last process left unanswered says nothing of this one
        known.unanswered_since.reset();
    }
    if (known.replaced.size() > max_replaced)
    {
        known.replaced.pop_front();
    }
    known.process = process.process;
}

bool allotment_directory::is_replaced(allotment_process const & process) const
{
    auto const * const known = this->find(process.node);
    return known != nullptr &&
           std::find(known->replaced.begin(),
                     known->replaced.end(),
                     process.process) != known->replaced.end();
}

void allotment_directory::record_answer(node_name const & node)
{
    if (auto const found = this->nodes.find(node); found != this->nodes.end())
    {
        found->second.unanswered_since.reset();
    }
}

void allotment_directory::record_refused(node_name const & node, time_point now)
{
    this->record_silence(node, now, now);
    if (auto const found = this->nodes.find(node); found != this->nodes.end())
    {
        found->second.is_refusing = true;
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
        known.is_refusing = false;
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
allotment_directory::owner(account_name const & account)
{
    auto const & members = this->group(account);
    auto const found = std::find_if(members.begin(),
                                    members.end(),
                                    [this](node_name const & node)
                                    {
                                        return !this->has_departed(node);
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

bool allotment_directory::has_departed(node_name const & node) const
{
    if (node == this->self)
    {
        return this->departure.has_value();
    }
    auto const * const known = this->find(node);
    return known != nullptr && known->departed_since.has_value();
}

bool allotment_directory::is_without_votes(node_name const & node,
                                           time_point now) const
{
    auto const * const known = this->find(node);
    return known != nullptr && known->departed_since &&
           now - *known->departed_since >= allotment_timing::vote_validity;
}

bool allotment_directory::is_reachable(node_name const & node,
                                       time_point now) const
{
    auto const * const known = this->find(node);
    if (known == nullptr || this->has_departed(node))
    {
        return false;
    }
    auto const pause = this->is_lost(node) && !known->is_refusing
                           ? lost_memory
                           : silence_memory;
    return !known->unanswered_since || now - known->last_unanswered >= pause;
}

bool allotment_directory::is_lost(node_name const & node) const
{
    auto const * const known = this->find(node);
    return known != nullptr && known->unanswered_since &&
           known->last_unanswered - *known->unanswered_since >= lost_after;
}

std::optional<endpoint>
allotment_directory::address(node_name const & node) const
{
    auto const * const known = this->find(node);
    return known == nullptr ? std::nullopt : std::optional(known->address);
}

} // namespace endivehinge
