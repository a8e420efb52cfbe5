#include "soak_checker.hpp"

#include <algorithm> // count_if, find_if, max, sort
#include <fstream>   // ifstream
#include <iostream>  // cout

#include <absl/strings/match.h>       // StrContains
#include <absl/strings/numbers.h>     // SimpleAtoi
#include <absl/strings/str_cat.h>     // StrCat
#include <absl/strings/str_replace.h> // StrReplaceAll

namespace endivehinge::tests
{

using std::chrono::milliseconds;

namespace
{

// attempts of the safe route, see soak_fleet::configure
constexpr std::uint32_t attempts = 2;
// the users' bound for a request that crashes its targets: after three crashes
// and the time in which the nodes must know, three more
constexpr std::size_t crashes_before_bound = 3;
constexpr std::chrono::seconds crash_report_time(3);
constexpr std::ptrdiff_t max_late_crashes = 3;

/// @brief the text of a field of a log line, up to a space; without quotes
std::string field_of(std::string const & line, std::string const & name)
{
    auto const key = absl::StrCat(" ", name, "=");
    auto const at = line.find(key);
    if (at == std::string::npos)
    {
        return {};
    }
    auto const begin = at + key.size();
    auto const text = line.substr(begin, line.find(' ', begin) - begin);
    return absl::StrReplaceAll(text, {{"\"", ""}});
}

} // namespace

soak_checker::soak_checker(soak_fleet const & served, soak_clients const & sent)
    : fleet(served)
{
    for (std::size_t i = 0; i < served.members.size(); ++i)
    {
        this->read_events(i, sent);
        this->read_log(i);
    }
    for (auto const & one : sent.requests)
    {
        this->check(*one);
    }
    this->check_crashes(sent, "/safe/crash");
    this->check_crashes(sent, "/unsafe/crash");
}

void soak_checker::check_crashes(soak_clients const & sent,
                                 std::string const & path)
{
    std::vector<duration> crashes;
    for (auto const & one : sent.requests)
    {
        auto const ran = this->run_times.find(one->id);
        if (one->path == path && ran != this->run_times.end())
        {
            crashes.insert(
                crashes.end(), ran->second.begin(), ran->second.end());
        }
    }
    std::sort(crashes.begin(), crashes.end());
    this->crashes_seen += crashes.size();
    if (crashes.size() < crashes_before_bound)
    {
        return;
    }
    auto const bound_start =
        crashes[crashes_before_bound - 1] + crash_report_time;
    auto const late = std::count_if(crashes.begin(),
                                    crashes.end(),
                                    [bound_start](duration at)
                                    {
                                        return at > bound_start;
                                    });
    if (late > max_late_crashes)
    {
        this->found.push_back(absl::StrCat(path,
                                           " crashed ",
                                           crashes.size(),
                                           " targets, ",
                                           late,
                                           " of them late"));
    }
}

std::vector<std::string> const & soak_checker::violations() const
{
    return this->found;
}

std::string soak_checker::summary() const
{
    return absl::StrCat("answered=",
                        this->answered,
                        " refused=",
                        this->refused,
                        " unknown=",
                        this->unknown,
                        " no_response=",
                        this->missing,
                        " crashes=",
                        this->crashes_seen,
                        " violations=",
                        this->found.size());
}

void soak_checker::read_events(std::size_t member, soak_clients const & sent)
{
    std::ifstream file(
        absl::StrCat(this->fleet.plan.folder, "/target-", member, ".events"));
    std::string event;
    std::string id;
    std::int64_t at = 0;
    while (file >> event)
    {
        if (event == "drained")
        {
            file >> at;
            continue;
        }
        file >> id >> at;
        if (event == "ran")
        {
            this->runs[id] += 1;
            this->run_times[id].push_back(this->fleet.since_start(at));
        }
        else
        {
            this->check_late(member, id, this->fleet.since_start(at), sent);
        }
    }
}

void soak_checker::check_late(std::size_t member,
                              std::string const & id,
                              duration at,
                              soak_clients const & sent)
{
    auto const known = std::find_if(sent.requests.begin(),
                                    sent.requests.end(),
                                    [&id](auto const & one)
                                    {
                                        return one->id == id;
                                    });
    bool const was_on_its_way =
        known != sent.requests.end() &&
        soak_fleet::touches(
            this->fleet.members[member]->target_troubles, (*known)->sent, at);
    if (!was_on_its_way)
    {
        this->found.push_back(
            absl::StrCat(id, " came to target ", member, " after its drain"));
    }
}

void soak_checker::read_log(std::size_t member)
{
    std::ifstream file(
        absl::StrCat(this->fleet.plan.folder, "/node-", member, ".log"));
    int newest = 0;
    for (std::string line; std::getline(file, line);)
    {
        if (absl::StrContains(line, " event=start "))
        {
            newest = 0;
        }
        if (absl::StrContains(line, " event=request_done ") &&
            !field_of(line, "reason").empty())
        {
            this->explained.insert(field_of(line, "id"));
        }
        if (!absl::StrContains(line, " event=configuration_in_force "))
        {
            continue;
        }
        int version = 0;
        bool const reads =
            absl::SimpleAtoi(field_of(line, "version"), &version);
        if (!reads || version < newest)
        {
            this->found.push_back(
                absl::StrCat("node ", member, " went back: ", line));
        }
        newest = std::max(newest, version);
    }
}

void soak_checker::check(soak_request const & one)
{
    auto const counted = this->runs.find(one.id);
    std::uint32_t const ran = counted == this->runs.end() ? 0 : counted->second;
    if (ran > (one.idempotent ? attempts : 1))
    {
        this->violate(one, absl::StrCat("ran ", ran, " times"));
    }
    if (!one.ended)
    {
        this->violate(one, "never ended");
        return;
    }
    one.status != 0 ? this->check_answer(one, ran) : this->check_missing(one);
}

void soak_checker::check_answer(soak_request const & one, std::uint32_t ran)
{
    switch (one.status)
    {
    case 200:
        this->answered += 1;
        if (one.body != absl::StrCat("ran ", one.id) || ran == 0)
        {
            this->violate(one, "has the wrong response: " + one.body);
        }
        return;
    case 503:
        this->refused += 1;
        if (ran > 0)
        {
            this->violate(one, "was refused and ran");
        }
        this->check_explained(one);
        return;
    case 502:
    case 504:
        this->unknown += 1;
        this->check_explained(one);
        return;
    default:
        this->violate(one, absl::StrCat("has status ", one.status));
    }
}

void soak_checker::check_missing(soak_request const & one)
{
    this->missing += 1;
    std::cout << "no_response " << one.id << " path=" << one.path
              << " node=" << one.member
              << " sent_ms=" << one.sent / milliseconds(1)
              << " ended_ms=" << *one.ended / milliseconds(1) << " ["
              << one.detail << "]\n";
    if (!soak_fleet::touches(
            this->fleet.members[one.member]->troubles, one.sent, *one.ended))
    {
        this->violate(one, "got no response: " + one.detail);
    }
}

void soak_checker::check_explained(soak_request const & one)
{
    if (!this->explained.contains(one.id))
    {
        this->violate(one, "has no reason in a log");
    }
}

void soak_checker::violate(soak_request const & one, std::string const & what)
{
    auto const ended = one.ended.value_or(duration(0));
    this->found.push_back(absl::StrCat(one.id,
                                       one.idempotent ? " safe" : " unsafe",
                                       " at node ",
                                       one.member,
                                       " sent_ms=",
                                       one.sent / milliseconds(1),
                                       " limit_ms=",
                                       one.time_limit / milliseconds(1),
                                       " ended_ms=",
                                       ended / milliseconds(1),
                                       " ",
                                       what));
}

} // namespace endivehinge::tests
