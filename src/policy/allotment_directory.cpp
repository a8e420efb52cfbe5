#include <endivehinge/policy/allotment_directory.hpp>

#include <algorithm> // max, min

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

} // namespace

allotment_directory::allotment_directory(node_name own_node, time_point now)
    : self(std::move(own_node))
    , started(now)
{
}

void allotment_directory::set_nodes(node_list const & present, time_point now)
{
    bool const is_first_view = this->nodes.empty() && present.size() > 1;
    absl::btree_map<node_name, entry> next;
    for (auto const & [node, address, target] : present)
    {
        auto const known = this->nodes.find(node);
        auto & added = next[node];
        if (known != this->nodes.end())
        {
            added = known->second;
            if (added.target != target)
            {
                added.departed_since.reset();
            }
        }
        else if (node == this->self)
        {
            // others may have been owners while this node was not in the view
            this->started = now;
            this->was_known = is_first_view;
        }
        added.address = address;
        added.target = target;
        this->removed.erase(node);
    }
    for (auto const & [node, known] : this->nodes)
    {
        if (!next.contains(node))
        {
            this->removed[node] = {known.address, now};
        }
    }
    this->nodes = std::move(next);
    for (auto node = this->removed.begin(); node != this->removed.end();)
    {
        node = now - node->second.since > 2 * allotment_timing::right_validity
                   ? this->removed.erase(node)
                   : std::next(node);
    }
}

void allotment_directory::restart(time_point now)
{
    this->started = now;
    this->was_known = false;
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
    bool const was_ended = now < known.ended_until;
    auto const proven_at = now - (ended_proof_validity -
                                  std::min(remaining, ended_proof_validity));
    if (proven_at <= known.last_alive)
    {
        return false;
    }
    if (now > known.ended_until + ended_proof_gap)
    {
        known.ended_since = now;
    }
    known.ended_until = std::max(
        known.ended_until, now + std::min(remaining, ended_proof_validity));
    return !was_ended;
}

bool allotment_directory::record_refused(node_name const & node, time_point now)
{
    auto const found = this->nodes.find(node);
    if (found == this->nodes.end() || node == this->self)
    {
        return false;
    }
    auto & known = found->second;
    if (now > known.refused_until + ended_proof_gap)
    {
        known.refused_since = now;
    }
    known.refused_until = now + ended_proof_validity;
    return this->record_ended(node, ended_proof_validity, now);
}

bool allotment_directory::record_alive(node_name const & node, time_point now)
{
    auto const found = this->nodes.find(node);
    if (found == this->nodes.end())
    {
        return false;
    }
    auto & known = found->second;
    bool const was_ended = known.ended_until != time_point();
    known.ended_until = time_point();
    known.ended_since = time_point();
    known.refused_until = time_point();
    known.refused_since = time_point();
    known.last_alive = now;
    return was_ended;
}

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

bool allotment_directory::record_return(node_name const & node, time_point now)
{
    auto const found = this->nodes.find(node);
    if (found == this->nodes.end() || !found->second.departed_since)
    {
        return false;
    }
    found->second.departed_since.reset();
    // the node may own accounts that this one has taken over
    this->restart(now);
    return true;
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

bool allotment_directory::can_own(entry const & known, time_point now)
{
    return now >= known.ended_until && !known.departed_since;
}

std::optional<node_name>
allotment_directory::owner(account_name const & account, time_point now) const
{
    std::optional<node_name> best;
    std::uint64_t best_rank = 0;
    for (auto const & [node, known] : this->nodes)
    {
        bool const has_left = node == this->self && this->departure;
        if (has_left || !can_own(known, now))
        {
            continue;
        }
        auto const rank = allotment_owner_rank(account, node);
        if (!best || rank > best_rank)
        {
            best = node;
            best_rank = rank;
        }
    }
    return best;
}

time_point allotment_directory::owner_since(account_name const & account,
                                            time_point now) const
{
    auto const own_rank = allotment_owner_rank(account, this->self);
    auto since = this->started;
    for (auto const & [node, known] : this->nodes)
    {
        if (!can_own(known, now) &&
            allotment_owner_rank(account, node) > own_rank)
        {
            since = std::max(since,
                             known.departed_since.value_or(known.ended_since));
        }
    }
    for (auto const & [node, removal] : this->removed)
    {
        if (allotment_owner_rank(account, node) > own_rank)
        {
            since = std::max(since, removal.since);
        }
    }
    return since;
}

std::optional<time_point>
allotment_directory::alone_from(account_name const & account,
                                time_point now) const
{
    auto const own_rank = allotment_owner_rank(account, this->self);
    auto from = this->started + allotment_timing::takeover_time;
    bool const is_recent =
        now - this->started < allotment_timing::right_validity;
    if (is_recent && !this->was_known)
    {
        return std::nullopt;
    }
    for (auto const & [node, removal] : this->removed)
    {
        if (now - removal.since < allotment_timing::right_validity &&
            allotment_owner_rank(account, node) > own_rank)
        {
            return std::nullopt;
        }
    }
    for (auto const & [node, known] : this->nodes)
    {
        if (can_own(known, now) ||
            allotment_owner_rank(account, node) < own_rank)
        {
            continue;
        }
        if (known.departed_since)
        {
            // the node grants nothing since it stated so
            from = std::max(from, *known.departed_since);
            continue;
        }
        if (now > known.refused_until + ended_proof_gap)
        {
            return std::nullopt;
        }
        from = std::max(from, known.refused_since);
    }
    return from;
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

std::vector<node_name> allotment_directory::other_nodes() const
{
    std::vector<node_name> others;
    for (auto const & [node, known] : this->nodes)
    {
        if (node != this->self)
        {
            others.push_back(node);
        }
    }
    for (auto const & [node, removal] : this->removed)
    {
        if (node != this->self)
        {
            others.push_back(node);
        }
    }
    return others;
}

std::optional<endpoint>
allotment_directory::address(node_name const & node) const
{
    auto const found = this->nodes.find(node);
    if (found != this->nodes.end())
    {
        return found->second.address;
    }
    auto const left = this->removed.find(node);
    return left == this->removed.end() ? std::nullopt
                                       : std::optional(left->second.address);
}

} // namespace endivehinge
