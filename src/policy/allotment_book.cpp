#include <endivehinge/policy/allotment_book.hpp>

#include <algorithm> // max, min, sort

#include <absl/strings/str_cat.h> // StrCat

#include <endivehinge/policy/allotment_owner.hpp>

namespace endivehinge
{
namespace
{

using std::chrono::milliseconds;

// for the first answers of the other nodes: several round trips between
// failure domains, and the event loop of a busy node
constexpr duration first_answers_limit = milliseconds(100);
// to a node that did not answer; longer than the time limit of a question
constexpr duration question_interval = milliseconds(700);
// the nodes that are next by rank are asked first: one of them was the owner
// meanwhile, and one of a few nodes has a promise of the last owner
constexpr std::size_t first_asked_nodes = 6;
// until all others are asked
constexpr duration first_questions_time = milliseconds(100);
// in a larger fleet only the first nodes are asked: the cost would grow with
// the fleet. Without a promise, the rights of the earlier owner are waited for
// until they expire
constexpr std::size_t max_asked_nodes = 256;
// accounts in one question; bounds the message
constexpr std::size_t max_question_accounts = 64;
// on the first start of a fleet no rights exist; later a node that joins may
// have taken over accounts from another
constexpr duration first_start_time = std::chrono::seconds(2);
// share of the slack that a new owner grants before it knows all rights; four
// starts within one window use the slack up
constexpr double start_slack_share = 0.25;
// share of the slack by which a bucket is greater than the burst. Accounts with
// about one request per second send two or three within a second by chance, and
// tokens that are refilled between two asks are not lost to a small burst
constexpr double capacity_slack_share = 0.3;

allotment_limits with_capacity(allotment_limits limits, double slack)
{
    limits.burst += slack * capacity_slack_share;
    return limits;
}

} // namespace

allotment_book::allotment_book(allotment_book_options chosen, time_point now)
    : options(chosen)
    , started(now)
{
}

allotment_ledger * allotment_book::open(account_name const & account,
                                        allotment_limits const & limits,
                                        time_point owner_since,
                                        time_point rights_free_until,
                                        allotment_directory const & directory,
                                        time_point now)
{
    auto const enlarged = with_capacity(limits, this->options.slack);
    auto const found = this->accounts.find(account);
    bool const is_new = found == this->accounts.end() ||
                        found->second.owner_since < owner_since;
    auto promise = rights_free_until;
    if (is_new && found != this->accounts.end())
    {
        // of this node, which was the owner before
        promise = std::max(
            promise,
            found->second.ledger.promised_until(now).value_or(time_point()));
    }
    auto & entry =
        is_new ? this->create(account, enlarged, owner_since, directory, now)
               : found->second;
    entry.promise = std::max(entry.promise, promise);
    apply_promise(account, entry, directory, now);
    entry.ledger.set_limits(enlarged, now);
    bool const waits = entry.ledger.is_recovering(now) &&
                       !entry.unheard.empty() &&
                       now - entry.opened < first_answers_limit;
    return waits ? nullptr : &entry.ledger;
}

allotment_book::account_entry &
allotment_book::create(account_name const & account,
                       allotment_limits const & limits,
                       time_point owner_since,
                       allotment_directory const & directory,
                       time_point now)
{
    bool const is_first_owner = this->options.first_start &&
                                owner_since - this->started < first_start_time;
    auto const known_from =
        is_first_owner ? now : owner_since + allotment_timing::right_validity;
    bool const is_known = known_from <= now;
    this->opened += 1;
    this->accounts.erase(account);
    auto & entry =
        this->accounts
            .emplace(
                account,
                account_entry{allotment_ledger(limits,
                                               is_known ? limits.burst
                                                        : this->options.slack *
                                                              start_slack_share,
                                               now,
                                               known_from),
                              owner_since,
                              now,
                              time_point(),
                              {},
                              false})
            .first->second;
    entry.ledger.set_confirmed(this->confirmed, now);
    if (!is_known)
    {
        add_questions(account, entry, directory.other_nodes(), now);
    }
    return entry;
}

void allotment_book::add_questions(account_name const & account,
                                   account_entry & entry,
                                   std::vector<node_name> others,
                                   time_point now)
{
    std::sort(others.begin(),
              others.end(),
              [&account](node_name const & a, node_name const & b)
              {
                  return allotment_owner_rank(account, a) >
                         allotment_owner_rank(account, b);
              });
    entry.asks_all = others.size() <= max_asked_nodes;
    auto const first = std::min(others.size(), first_asked_nodes);
    for (std::size_t i = 0; i < (entry.asks_all ? others.size() : first); ++i)
    {
        entry.unheard[others[i]] = i < first ? now : now + first_questions_time;
    }
    check_all_heard(entry, now);
}

void allotment_book::apply_promise(account_name const & account,
                                   account_entry & entry,
                                   allotment_directory const & directory,
                                   time_point now)
{
    if (entry.promise == time_point() || !entry.ledger.is_recovering(now))
    {
        return;
    }
    // later rights can only be those of this node
    if (auto const alone_from = directory.alone_from(account, now);
        alone_from && entry.promise >= *alone_from)
    {
        entry.unheard.clear();
        entry.ledger.record_rights_free(*alone_from, now);
    }
}

void allotment_book::close(account_name const & account)
{
    this->accounts.erase(account);
}

void allotment_book::check_all_heard(account_entry & entry, time_point now)
{
    if (entry.asks_all && entry.unheard.empty())
    {
        entry.ledger.record_all_heard(now);
    }
}

std::vector<allotment_book::question>
allotment_book::due_questions(time_point now)
{
    absl::btree_map<node_name, std::vector<account_name>> by_node;
    for (auto & [account, entry] : this->accounts)
    {
        if (!entry.ledger.is_recovering(now))
        {
            continue;
        }
        for (auto & [node, due] : entry.unheard)
        {
            if (now < due)
            {
                continue;
            }
            if (auto & asked = by_node[node];
                asked.size() < max_question_accounts)
            {
                asked.push_back(account);
                due = now + question_interval;
            }
        }
    }
    std::vector<question> questions;
    questions.reserve(by_node.size());
    for (auto & [node, asked] : by_node)
    {
        questions.push_back({node, std::move(asked)});
    }
    return questions;
}

void allotment_book::record_claim(account_name const & account,
                                  allotment_process const & from,
                                  allotment_claim const & claim,
                                  time_point asked_at,
                                  time_point now)
{
    auto const found = this->accounts.find(account);
    if (found == this->accounts.end() || !claim.agrees)
    {
        return;
    }
    if (claim.rights_free > duration(0))
    {
        found->second.promise =
            std::max(found->second.promise, asked_at + claim.rights_free);
    }
    if (found->second.unheard.erase(from.node) == 0)
    {
        return;
    }
    found->second.ledger.record_claim(from, claim, now);
    check_all_heard(found->second, now);
}

void allotment_book::record_ended(node_name const & node,
                                  time_point attempted_at,
                                  time_point now)
{
    for (auto & [account, entry] : this->accounts)
    {
        entry.ledger.record_ended(node, attempted_at, now);
        if (entry.unheard.erase(node) > 0)
        {
            check_all_heard(entry, now);
        }
    }
}

void allotment_book::set_confirmed(bool is_confirmed, time_point now)
{
    if (this->confirmed == is_confirmed)
    {
        return;
    }
    this->confirmed = is_confirmed;
    for (auto & [account, entry] : this->accounts)
    {
        entry.ledger.set_confirmed(is_confirmed, now);
    }
}

std::vector<node_name> allotment_book::silent_holders(time_point now) const
{
    absl::btree_set<node_name> silent;
    for (auto const & [account, entry] : this->accounts)
    {
        for (auto & node : entry.ledger.silent_holders(now))
        {
            silent.insert(std::move(node));
        }
    }
    return {silent.begin(), silent.end()};
}

void allotment_book::discard_idle(time_point now)
{
    for (auto entry = this->accounts.begin(); entry != this->accounts.end();)
    {
        entry = entry->second.ledger.is_idle(now) ? this->accounts.erase(entry)
                                                  : std::next(entry);
    }
}

std::string allotment_book::reason(account_name const & account,
                                   time_point now) const
{
    auto const found = this->accounts.find(account);
    if (found == this->accounts.end())
    {
        return "no ledger";
    }
    auto const & unheard = found->second.unheard;
    if (!found->second.ledger.is_recovering(now) || unheard.empty())
    {
        return "the bucket is empty";
    }
    return absl::StrCat("rights of ",
                        unheard.size(),
                        " nodes, first ",
                        unheard.begin()->first.value());
}

std::uint64_t allotment_book::opened_count() const
{
    return this->opened;
}

std::size_t allotment_book::size() const
{
    return this->accounts.size();
}

bool allotment_book::is_recovering(time_point now) const
{
    for (auto const & [account, entry] : this->accounts)
    {
        if (entry.ledger.is_recovering(now) && !entry.unheard.empty())
        {
            return true;
        }
    }
    return false;
}

} // namespace endivehinge
