#include <common/history_checker.hpp>

#include <algorithm> // count_if

#include <absl/container/btree_map.h>     // btree_map
#include <absl/container/flat_hash_map.h> // flat_hash_map
#include <absl/strings/str_cat.h>         // StrCat

namespace endivehinge::tools
{
namespace
{

// what the records say of one call
struct call_history
{
    history_record invoke;
    std::vector<history_record> ends;
    std::vector<history_record> rejections;
    bool invoked = false;
};

// the starts that targets wrote, by each of a request's names
struct start_index
{
    absl::flat_hash_map<std::string, std::size_t> by_attempt;
    absl::flat_hash_map<std::string, std::size_t> by_id;
    absl::btree_map<std::string, std::size_t> by_key;
    absl::btree_map<std::string, std::size_t> by_call;

    static void count(absl::btree_map<std::string, std::size_t> & index,
                      std::string const & name)
    {
        index[name] += name.empty() ? 0 : 1;
    }

    static std::size_t
    find(absl::flat_hash_map<std::string, std::size_t> const & index,
         std::string const & name)
    {
        auto const found = index.find(name);
        return name.empty() || found == index.end() ? 0 : found->second;
    }

    static std::size_t
    find(absl::btree_map<std::string, std::size_t> const & index,
         std::string const & name)
    {
        auto const found = index.find(name);
        return name.empty() || found == index.end() ? 0 : found->second;
    }
};

// a key names a request within one service
std::string scoped_key(history_record const & record)
{
    return record.key.value().empty()
               ? std::string()
               : absl::StrCat(record.service.value(), "/", record.key.value());
}

bool is_end(history_event event)
{
    return event == history_event::answer || event == history_event::refused ||
           event == history_event::unknown || event == history_event::lost;
}

class history_check
{
public:
    explicit history_check(std::vector<history_record> const & records)
    {
        for (auto const & record : records)
        {
            this->sort(record);
        }
    }

    history_verdict run()
    {
        for (auto const & [name, call] : this->calls)
        {
            this->check_end(name, call);
            this->check_refusals(name, call);
            this->check_repeat(name, call);
        }
        this->check_keys();
        return std::move(this->verdict);
    }

private:
    void sort(history_record const & record)
    {
        if (record.event == history_event::start)
        {
            start_index::count(this->starts.by_key, scoped_key(record));
            start_index::count(this->starts.by_call, record.call);
            ++this->starts.by_attempt[record.attempt];
            ++this->starts.by_id[record.id.value()];
            return;
        }
        if (!record.target.empty())
        {
            return;
        }
        auto & call = this->calls[record.call];
        if (record.event == history_event::invoke)
        {
            call.invoke = record;
            call.invoked = true;
        }
        if (record.event == history_event::rejected)
        {
            call.rejections.push_back(record);
        }
        if (is_end(record.event))
        {
            call.ends.push_back(record);
        }
    }

    void check_end(std::string const & name, call_history const & call)
    {
        this->verdict.sent += call.invoked ? 1 : 0;
        if (call.ends.empty())
        {
            this->add(violation_kind::lost, name, "the call has no end");
            return;
        }
        for (auto const & end : call.ends)
        {
            this->count_end(name, call, end);
        }
    }

    void count_end(std::string const & name,
                   call_history const & call,
                   history_record const & end)
    {
        switch (end.event)
        {
        case history_event::answer:
            ++this->verdict.answered;
            if (!end.whole || end.digest_got != call.invoke.digest_sent)
            {
                this->add(violation_kind::cut,
                          name,
                          absl::StrCat("sent ",
                                       call.invoke.digest_sent,
                                       ", got ",
                                       end.digest_got));
            }
            break;
        case history_event::refused:
            ++this->verdict.refused;
            break;
        case history_event::unknown:
            ++this->verdict.unknown;
            break;
        default:
            this->add(violation_kind::lost, name, "no answer by the deadline");
        }
    }

    // the call as a whole, then each try that came back as not run
    void check_refusals(std::string const & name, call_history const & call)
    {
        for (auto const & end : call.ends)
        {
            if (end.event == history_event::refused &&
                this->was_started(name, call, end))
            {
                this->add(violation_kind::untrue, name, "a target started it");
                return;
            }
        }
        for (auto const & rejection : call.rejections)
        {
            if (this->was_started(rejection))
            {
                this->add(violation_kind::untrue,
                          name,
                          absl::StrCat("a target started ", rejection.attempt));
            }
        }
    }

    bool was_started(history_record const & rejection) const
    {
        return start_index::find(this->starts.by_attempt, rejection.attempt) +
                   start_index::find(this->starts.by_id, rejection.id.value()) >
               0;
    }

    bool was_started(std::string const & name,
                     call_history const & call,
                     history_record const & end) const
    {
        return start_index::find(this->starts.by_call, name) +
                   start_index::find(this->starts.by_id, end.id.value()) +
                   start_index::find(this->starts.by_key,
                                     scoped_key(call.invoke)) >
               0;
    }

    // without a key, a call that may not be repeated starts once at most
    void check_repeat(std::string const & name, call_history const & call)
    {
        bool const is_single = call.invoked && !call.invoke.repeatable &&
                               call.invoke.key.value().empty();
        if (is_single && start_index::find(this->starts.by_call, name) > 1)
        {
            this->add(violation_kind::doubled, name, "two starts of the call");
        }
    }

    void check_keys()
    {
        for (auto const & [key, count] : this->starts.by_key)
        {
            if (count > 1)
            {
                this->add(violation_kind::doubled, key, "two starts of a key");
            }
        }
    }

    void add(violation_kind kind,
             std::string const & call,
             std::string const & detail)
    {
        this->verdict.violations.push_back({kind, call, detail});
    }

    absl::btree_map<std::string, call_history> calls;
    start_index starts;
    history_verdict verdict;
};

} // namespace

char const * to_string(violation_kind kind)
{
    switch (kind)
    {
    case violation_kind::lost:
        return "lost";
    case violation_kind::doubled:
        return "doubled";
    case violation_kind::cut:
        return "cut";
    default:
        return "untrue";
    }
}

std::size_t history_verdict::count(violation_kind kind) const
{
    return static_cast<std::size_t>(std::count_if(this->violations.begin(),
                                                  this->violations.end(),
                                                  [kind](violation const & one)
                                                  {
                                                      return one.kind == kind;
                                                  }));
}

history_verdict check_history(std::vector<history_record> const & records)
{
    return history_check(records).run();
}

} // namespace endivehinge::tools
