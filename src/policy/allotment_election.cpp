#include <endivehinge/policy/allotment_election.hpp>

#include <algorithm> // any_of, clamp, find, max, min, stable_partition
#include <utility>   // exchange, move

#include <absl/strings/str_cat.h> // StrAppend, StrCat

#include <endivehinge/policy/allotment_timing.hpp>

namespace endivehinge
{
namespace
{

using std::chrono::milliseconds;

// in this time an election may succeed although a voter has not given its vote
constexpr duration election_time = milliseconds(150);
// an account without requests for this time needs no owner
constexpr duration wanted_memory = std::chrono::seconds(2);
// before a voter that gave no vote, or no answer, is asked again
constexpr duration request_interval = milliseconds(50);
// the answers of all voters are awaited for this time before a node takes
// itself for the owner; several round trips between failure domains
constexpr duration answer_time = milliseconds(50);
// a vote that has ended is remembered for this time, and so is the time without
// an owner counted at most
constexpr duration vote_memory = std::chrono::seconds(5);
// in one message; bounds its size
constexpr std::size_t max_requests = 64;

/// @brief whether one node precedes another in a group
bool precedes(std::vector<node_name> const & group,
              node_name const & a,
              node_name const & b)
{
    return std::find(group.begin(), group.end(), a) <
           std::find(group.begin(), group.end(), b);
}

} // namespace

allotment_election::allotment_election(allotment_process own_process,
                                       bool first_start,
                                       time_point now)
    : self(std::move(own_process))
    , votes_from(first_start ? now : now + allotment_timing::vote_validity)
{
}

bool allotment_election::has_just_started(time_point now) const
{
    return now < this->votes_from;
}

bool allotment_election::binds(given_vote const & given,
                               allotment_directory const & directory,
                               time_point now)
{
    return now < given.until && !directory.has_departed(given.candidate.node) &&
           !directory.is_replaced(given.candidate);
}

bool allotment_election::has_own_vote(account_name const & account,
                                      time_point now) const
{
    auto const found = this->given.find(account);
    return found != this->given.end() &&
           found->second.candidate == this->self && now < found->second.until;
}

// ---------------------------------------------------------------------------
// voter
// ---------------------------------------------------------------------------

allotment_vote allotment_election::vote(allotment_vote_request const & request,
                                        allotment_process const & candidate,
                                        allotment_directory & directory,
                                        time_point now)
{
    auto const & account = request.account;
    allotment_vote answer;
    if (directory.has_own_departure() || directory.is_replaced(candidate))
    {
        return answer;
    }
    if (directory.is_lost(candidate.node))
    {
        // other nodes may not reach it either
        this->doubted.insert(candidate.node);
        return answer;
    }
    if (auto const found = this->given.find(account);
        found != this->given.end() && binds(found->second, directory, now) &&
        found->second.candidate.node != candidate.node)
    {
        auto const & holder = found->second.candidate.node;
        auto const own = this->candidacies.find(account);
        bool const yields =
            holder == this->self.node && own != this->candidacies.end() &&
            !this->is_owner(account, directory, now) &&
            precedes(directory.group(account), candidate.node, holder);
        if (!yields)
        {
            if (holder != this->self.node)
            {
                this->doubted.insert(holder);
            }
            answer.holder = holder;
            answer.remaining = found->second.until - now;
            return answer;
        }
        this->yield(account, own->second, candidate.node, now);
    }
    this->give(account, candidate, request.number, directory, now);
    answer.granted = true;
    answer.provisional = this->has_just_started(now);
    answer.remaining =
        answer.provisional ? this->votes_from - now : duration(0);
    auto const & vote = this->given.at(account);
    answer.unowned_for =
        std::clamp(vote.since - vote.unowned_since, duration(0), vote_memory);
    return answer;
}

void allotment_election::give(account_name const & account,
                              allotment_process const & candidate,
                              std::uint64_t number,
                              allotment_directory const & directory,
                              time_point now)
{
    auto const [position, is_new] = this->given.try_emplace(account);
    auto & vote = position->second;
    if (!(vote.candidate == candidate) || now >= vote.until)
    {
        // an earlier process of this node may have given a vote until its end
        auto const ended = is_new                        ? time_point()
                           : binds(vote, directory, now) ? now
                                                         : vote.until;
        vote.unowned_since = std::max(this->votes_from, std::min(ended, now));
        vote.since = now;
        vote.candidate = candidate;
    }
    vote.until = now + allotment_timing::vote_validity;
    vote.number = number;
}

void allotment_election::take_back(allotment_vote_request const & request,
                                   allotment_process const & candidate,
                                   time_point now)
{
    auto const found = this->given.find(request.account);
    if (found != this->given.end() && found->second.candidate == candidate &&
        found->second.number <= request.number)
    {
        // the node may have been an owner until a moment ago
        found->second.until = now;
        found->second.candidate = {};
    }
}

// ---------------------------------------------------------------------------
// candidate and owner
// ---------------------------------------------------------------------------

void allotment_election::seek(account_name const & account, time_point now)
{
    if (this->retired)
    {
        return;
    }
    auto & own = this->candidacies[account];
    if (now >= own.wanted_until)
    {
        own.sought_since = now;
    }
    own.wanted_until = now + wanted_memory;
}

allotment_election::vote_count
allotment_election::count(account_name const & account,
                          candidacy const & own,
                          allotment_directory & directory,
                          time_point now) const
{
    vote_count result;
    result.unowned_for = vote_memory;
    std::size_t electorate = 0;
    for (auto const & node : directory.group(account))
    {
        bool const is_own = node == this->self.node;
        result.is_member =
            result.is_member || (is_own && !directory.has_own_departure());
        // a node that is not reached remains a voter: it may be behind a cut
        // and have an owner there
        electorate += directory.is_without_votes(node, now) ? 0 : 1;
        auto const vote =
            is_own ? this->own_vote(account, now) : vote_of(own, node);
        if (now >= vote.until)
        {
            result.missing += 1;
        }
        else
        {
            // an owner has been elected by all, so that no forgotten vote is
            // in use
            result.received += own.established || !vote.provisional ? 1 : 0;
            result.unowned_for = std::min(result.unowned_for, vote.unowned_for);
        }
        result.in_flight = result.in_flight || vote.in_flight;
        result.rejected = result.rejected || now < vote.rejected_until;
    }
    result.required = electorate / 2 + 1;
    if (result.received <= directory.group(account).size() / 2)
    {
        // the voters of the last owner may all have ended
        result.unowned_for = duration(0);
    }
    return result;
}

allotment_election::received_vote
allotment_election::vote_of(candidacy const & own, node_name const & node)
{
    auto const found = own.votes.find(node);
    return found == own.votes.end() ? received_vote() : found->second;
}

allotment_election::received_vote
allotment_election::own_vote(account_name const & account, time_point now) const
{
    received_vote result;
    if (this->has_own_vote(account, now))
    {
        auto const & vote = this->given.at(account);
        result.until = vote.until;
        result.provisional = this->has_just_started(now);
        result.unowned_for =
            std::max(vote.since - vote.unowned_since, duration(0));
    }
    return result;
}

bool allotment_election::is_owner(account_name const & account,
                                  allotment_directory & directory,
                                  time_point now)
{
    auto const found = this->candidacies.find(account);
    if (found == this->candidacies.end())
    {
        return false;
    }
    auto & own = found->second;
    auto const votes = this->count(account, own, directory, now);
    // the whole group agrees, so that none of it is the owner
    bool const is_unanimous = votes.missing == 0;
    bool const has_majority =
        votes.is_member && (votes.received >= votes.required || is_unanimous);
    if (!has_majority)
    {
        if (own.established)
        {
            own.sought_since = now;
            own.lost_at = now;
        }
        own.established = false;
        return false;
    }
    if (!own.established)
    {
        // a voter that knows another owner says so in this time
        bool const may_be_rejected =
            votes.in_flight && now - own.last_request < answer_time;
        if (votes.rejected || may_be_rejected)
        {
            return false;
        }
        own.established = true;
        own.since = now;
        own.unowned_before =
            own.lost_at ? std::min(votes.unowned_for, now - *own.lost_at)
                        : votes.unowned_for;
        own.rival.reset();
    }
    return true;
}

time_point allotment_election::owner_since(account_name const & account) const
{
    return this->candidacies.at(account).since;
}

duration allotment_election::unowned_before(account_name const & account) const
{
    return this->candidacies.at(account).unowned_before;
}

std::optional<node_name>
allotment_election::other_owner(account_name const & account,
                                allotment_directory const & directory,
                                time_point now) const
{
    auto const vote = this->given.find(account);
    if (vote != this->given.end() && binds(vote->second, directory, now) &&
        vote->second.candidate.node != this->self.node)
    {
        return vote->second.candidate.node;
    }
    auto const own = this->candidacies.find(account);
    if (own != this->candidacies.end() && own->second.rival &&
        now < own->second.rival_until &&
        !directory.has_departed(*own->second.rival))
    {
        return own->second.rival;
    }
    return std::nullopt;
}

duration allotment_election::blocked_for(account_name const & account,
                                         time_point now) const
{
    auto const own = this->candidacies.find(account);
    return own == this->candidacies.end() ||
                   now - own->second.sought_since < election_time
               ? duration(0)
               : std::max(own->second.blocked_until - now, duration(0));
}

void allotment_election::yield(account_name const & account,
                               candidacy & own,
                               node_name const & rival,
                               time_point now)
{
    this->return_votes(account, own, now);
    own.rival = rival;
    own.rival_until = now + allotment_timing::vote_validity;
}

void allotment_election::return_votes(account_name const & account,
                                      candidacy & own,
                                      time_point now)
{
    for (auto & [node, vote] : own.votes)
    {
        if (now < vote.until)
        {
            this->returns[node].push_back({account, ++this->last_number, true});
        }
        vote.until = time_point();
    }
    own.established = false;
    this->take_back({account, this->last_number, true}, this->self, now);
}

bool allotment_election::take_own_vote(account_name const & account,
                                       candidacy & own,
                                       allotment_directory const & directory,
                                       time_point now)
{
    if (auto const vote = this->given.find(account);
        vote != this->given.end() && binds(vote->second, directory, now) &&
        vote->second.candidate.node != this->self.node)
    {
        this->doubted.insert(vote->second.candidate.node);
        own.blocked_until = vote->second.until;
        return false;
    }
    this->give(account, this->self, 0, directory, now);
    return true;
}

bool allotment_election::is_bound_to_lost(
    account_name const & account, allotment_directory const & directory) const
{
    auto const vote = this->given.find(account);
    return vote != this->given.end() &&
           directory.is_lost(vote->second.candidate.node);
}

std::vector<allotment_election::ballot>
allotment_election::due_ballots(allotment_directory & directory, time_point now)
{
    absl::btree_map<node_name, std::vector<allotment_vote_request>> by_node;
    this->returns.swap(by_node);
    for (auto & [account, own] : this->candidacies)
    {
        auto const & group = directory.group(account);
        bool const is_member =
            std::find(group.begin(), group.end(), this->self.node) !=
            group.end();
        if (now >= own.wanted_until || !is_member ||
            directory.has_own_departure())
        {
            continue;
        }
        bool const has_rival = !own.established && own.rival &&
                               now < own.rival_until &&
                               !directory.has_departed(*own.rival) &&
                               !directory.is_lost(*own.rival);
        // also if its own vote is bound to a node that does not answer: the
        // other voters find that out too
        if (!has_rival && (this->take_own_vote(account, own, directory, now) ||
                           this->is_bound_to_lost(account, directory)))
        {
            this->add_requests(account, own, directory, now, by_node);
        }
    }
    std::vector<ballot> ballots;
    ballots.reserve(by_node.size());
    for (auto & [node, requests] : by_node)
    {
        ballots.push_back({node, std::move(requests)});
    }
    return ballots;
}

void allotment_election::add_requests(
    account_name const & account,
    candidacy & own,
    allotment_directory & directory,
    time_point now,
    absl::btree_map<node_name, std::vector<allotment_vote_request>> & by_node)
{
    std::vector<node_name> voters;
    for (auto const & node : directory.group(account))
    {
        if (node != this->self.node && !directory.has_departed(node))
        {
            voters.push_back(node);
        }
    }
    // to remain the owner, the votes of a majority are enough: those that it
    // has, then those of nodes that are likely to answer
    auto wanted = voters.size();
    if (this->is_owner(account, directory, now))
    {
        wanted = this->count(account, own, directory, now).required - 1;
        auto const others =
            std::stable_partition(voters.begin(),
                                  voters.end(),
                                  [&own, now](node_name const & node)
                                  {
                                      return now < own.votes[node].until;
                                  });
        std::stable_partition(others,
                              voters.end(),
                              [&directory, now](node_name const & node)
                              {
                                  return directory.is_reachable(node, now);
                              });
    }
    bool sends = false;
    std::size_t secured = 0;
    for (auto const & node : voters)
    {
        if (secured == wanted)
        {
            break;
        }
        auto & vote = own.votes[node];
        bool const is_full_now =
            vote.provisional && !own.established && now >= vote.full_from;
        bool const is_due =
            vote.until - now < allotment_timing::vote_renewal || is_full_now;
        bool const is_answer_due =
            vote.in_flight && now - vote.requested < answer_time;
        secured += !is_due || is_answer_due ? 1 : 0;
        auto & requests = by_node[node];
        if (!vote.in_flight && now >= vote.next_request && is_due &&
            requests.size() < max_requests)
        {
            vote.in_flight = true;
            vote.requested = now;
            secured += 1;
            sends = true;
            requests.push_back({account, ++this->last_number, false});
        }
        if (requests.empty())
        {
            by_node.erase(node);
        }
    }
    if (sends)
    {
        own.last_request = now;
    }
}

void allotment_election::record_vote(account_name const & account,
                                     node_name const & voter,
                                     allotment_vote const & vote,
                                     allotment_directory & directory,
                                     time_point sent_at,
                                     time_point now)
{
    auto const found = this->candidacies.find(account);
    if (found == this->candidacies.end())
    {
        return;
    }
    found->second.votes[voter].in_flight = false;
    if (vote.granted)
    {
        this->record_granted(account, found->second, voter, vote, sent_at, now);
    }
    else
    {
        this->record_rejected(
            account, found->second, voter, vote, directory, now);
    }
}

void allotment_election::record_granted(account_name const & account,
                                        candidacy & own,
                                        node_name const & voter,
                                        allotment_vote const & vote,
                                        time_point sent_at,
                                        time_point now)
{
    auto & received = own.votes[voter];
    received.rejected_until = time_point();
    if (!this->has_own_vote(account, now))
    {
        // this node has yielded meanwhile
        this->returns[voter].push_back({account, ++this->last_number, true});
        return;
    }
    received.until = sent_at + allotment_timing::vote_validity;
    received.unowned_for = vote.unowned_for;
    received.provisional = vote.provisional;
    received.full_from =
        now + std::min(vote.remaining, allotment_timing::vote_validity);
    if (vote.provisional && !own.established)
    {
        own.blocked_until = std::max(own.blocked_until, received.full_from);
    }
    if (own.rival == voter)
    {
        own.rival.reset();
    }
}

void allotment_election::record_rejected(account_name const & account,
                                         candidacy & own,
                                         node_name const & voter,
                                         allotment_vote const & vote,
                                         allotment_directory & directory,
                                         time_point now)
{
    auto & received = own.votes[voter];
    received.until = time_point();
    received.next_request = now + request_interval;
    if (!vote.holder || *vote.holder == this->self.node)
    {
        return;
    }
    if (directory.has_departed(*vote.holder))
    {
        // the next request states the departure
        received.rejected_until = now + 2 * request_interval;
        return;
    }
    auto const remaining =
        std::min(vote.remaining, allotment_timing::vote_validity);
    received.rejected_until = now + remaining;
    bool const has_vote_of_holder = now < own.votes[*vote.holder].until;
    if (this->is_owner(account, directory, now) || has_vote_of_holder)
    {
        // a holder that has given its vote returns those that it has received
        return;
    }
    if (*vote.holder == voter ||
        precedes(directory.group(account), *vote.holder, this->self.node))
    {
        this->yield(account, own, *vote.holder, now);
    }
    own.rival = vote.holder;
    own.rival_until = now + remaining;
    if (!directory.is_reachable(*vote.holder, now))
    {
        own.blocked_until = std::max(own.blocked_until, now + remaining);
    }
}

void allotment_election::record_failure(account_name const & account,
                                        node_name const & voter,
                                        time_point now)
{
    auto const found = this->candidacies.find(account);
    if (found != this->candidacies.end())
    {
        auto & received = found->second.votes[voter];
        received.in_flight = false;
        received.next_request = now + request_interval;
    }
}

void allotment_election::resign()
{
    this->candidacies.clear();
}

void allotment_election::retire(time_point now)
{
    this->retired = true;
    for (auto & [account, own] : this->candidacies)
    {
        this->return_votes(account, own, now);
    }
    this->candidacies.clear();
}

bool allotment_election::is_retired() const
{
    return this->retired;
}

void allotment_election::doubt(node_name const & node)
{
    this->doubted.insert(node);
}

std::vector<node_name> allotment_election::take_doubted()
{
    auto const taken = std::exchange(this->doubted, {});
    return {taken.begin(), taken.end()};
}

bool allotment_election::is_active(time_point now) const
{
    return !this->returns.empty() ||
           std::any_of(this->candidacies.begin(),
                       this->candidacies.end(),
                       [now](auto const & item)
                       {
                           return now < item.second.wanted_until;
                       });
}

void allotment_election::discard_idle(time_point now)
{
    for (auto item = this->candidacies.begin();
         item != this->candidacies.end();)
    {
        item =
            now >= item->second.wanted_until + allotment_timing::vote_validity
                ? this->candidacies.erase(item)
                : std::next(item);
    }
    for (auto item = this->given.begin(); item != this->given.end();)
    {
        item = now >= item->second.since + vote_memory &&
                       now >= item->second.until + vote_memory
                   ? this->given.erase(item)
                   : std::next(item);
    }
}

std::string allotment_election::reason(account_name const & account,
                                       allotment_directory & directory,
                                       time_point now)
{
    auto const found = this->candidacies.find(account);
    if (found == this->candidacies.end())
    {
        return "this node does not seek to own it";
    }
    if (auto const other = this->other_owner(account, directory, now))
    {
        return absl::StrCat("owned by ", other->value());
    }
    auto const votes = this->count(account, found->second, directory, now);
    auto text =
        absl::StrCat(votes.received, " of ", votes.required, " votes, missing");
    for (auto const & node : directory.group(account))
    {
        auto const vote = found->second.votes.find(node);
        bool const has_vote =
            node == this->self.node
                ? this->has_own_vote(account, now)
                : vote != found->second.votes.end() && now < vote->second.until;
        if (!has_vote && !directory.has_departed(node))
        {
            absl::StrAppend(&text, " ", node.value());
        }
    }
    return text;
}

} // namespace endivehinge
