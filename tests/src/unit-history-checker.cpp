#include <sstream> // istringstream
#include <string>  // string
#include <vector>  // vector

#include <gtest/gtest.h>

#include <common/body_digest.hpp>
#include <common/history_checker.hpp>

namespace endivehinge::tools
{
namespace
{

// each record as `event call try id key`, `-` for none; two more fields on
// an answer: the digest got and whether it is whole
struct history_case
{
    char const * name;
    std::vector<char const *> lines;
    std::vector<violation_kind> expected;
};

history_record make_record(std::string const & event,
                           std::string const & call,
                           std::string const & attempt,
                           std::string const & id,
                           std::string const & key)
{
    history_record record;
    record.event = nlohmann::json(event).get<history_event>();
    record.call = call == "-" ? "" : call;
    record.attempt = attempt == "-" ? "" : attempt;
    record.id = request_id(id == "-" ? "" : id);
    record.key = idempotency_key(key == "-" ? "" : key);
    record.service = service_name("booking");
    record.digest_sent = "sent-" + record.call;
    return record;
}

std::vector<history_record>
make_history(std::vector<char const *> const & lines)
{
    std::vector<history_record> records;
    for (auto const * const line : lines)
    {
        std::istringstream fields(line);
        std::string event;
        std::string call;
        std::string attempt;
        std::string id;
        std::string key;
        std::string digest;
        std::string extra;
        fields >> event >> call >> attempt >> id >> key >> digest >> extra;
        auto record = make_record(event, call, attempt, id, key);
        record.target =
            event == "start" || event == "finish" ? "booking-1" : "";
        record.digest_got = digest.empty() ? record.digest_sent : digest;
        record.whole = extra != "cut";
        record.repeatable = extra == "repeatable";
        records.push_back(record);
    }
    return records;
}

std::vector<history_case> const cases = {
    {"answered once",
     {"invoke c1 - - k1",
      "attempt c1 t1 - k1",
      "start c1 t1 n-1 k1",
      "finish c1 t1 n-1 k1",
      "answer c1 t1 n-1 k1"},
     {}},
    {"answered from the kept answer after a lost connection",
     {"invoke c1 - - k1", "start c1 t1 n-1 k1", "answer c1 t2 m-1 k1"},
     {}},
    {"refused and not run",
     {"invoke c1 - - k1", "rejected c1 t1 n-1 k1", "refused c1 t1 n-1 k1"},
     {}},
    {"rejected once and then run",
     {"invoke c1 - - -",
      "rejected c1 t1 n-1 -",
      "start c1 t2 m-1 -",
      "answer c1 t2 m-1 -"},
     {}},
    {"unknown and run",
     {"invoke c1 - - k1", "start c1 t1 n-1 k1", "unknown c1 t1 n-1 k1"},
     {}},
    {"unknown and not run", {"invoke c1 - - k1", "unknown c1 t1 n-1 k1"}, {}},
    {"a repeatable request run twice",
     {"invoke c1 - - - x repeatable",
      "start c1 t1 n-1 -",
      "start c1 t1 n-1 -",
      "answer c1 t1 n-1 -"},
     {}},
    {"one key for two services", {"start a - n-1 k1", "start b - n-2 k2"}, {}},
    {"no end", {"invoke c1 - - k1"}, {violation_kind::lost}},
    {"given up by the caller",
     {"invoke c1 - - k1", "lost c1 - - k1"},
     {violation_kind::lost}},
    {"a key run twice under two ids",
     {"invoke c1 - - k1",
      "start c1 t1 n-1 k1",
      "start c1 t2 m-1 k1",
      "answer c1 t2 m-1 k1"},
     {violation_kind::doubled}},
    {"a request without key run twice",
     {"invoke c1 - - -",
      "start c1 t1 n-1 -",
      "start c1 t1 n-1 -",
      "answer c1 t1 n-1 -"},
     {violation_kind::doubled}},
    {"an answer of another call",
     {"invoke c1 - - -", "start c1 t1 n-1 -", "answer c1 t1 n-1 - sent-c2"},
     {violation_kind::cut}},
    {"half an answer",
     {"invoke c1 - - -", "start c1 t1 n-1 -", "answer c1 t1 n-1 - sent-c1 cut"},
     {violation_kind::cut}},
    {"refused and run under the try",
     {"invoke c1 - - -",
      "rejected c1 t1 - -",
      "refused c1 t1 - -",
      "start c1 t1 n-1 -"},
     {violation_kind::untrue}},
    {"refused and run under the id only",
     {"invoke c1 - - -",
      "rejected c1 t1 n-1 -",
      "unknown c1 t1 n-1 -",
      "start - - n-1 -"},
     {violation_kind::untrue}},
    {"refused and run under the key",
     {"invoke c1 - - k1", "refused c1 t2 m-1 k1", "start - - n-1 k1"},
     {violation_kind::untrue}},
    {"rejected and run, then answered by another try",
     {"invoke c1 - - x repeatable",
      "rejected c1 t1 n-1 -",
      "start c1 t1 n-1 -",
      "answer c1 t2 m-1 -"},
     {violation_kind::untrue}},
};

TEST(history_checker, finds_each_broken_promise_and_no_other)
{
    for (auto const & one : cases)
    {
        auto const verdict = check_history(make_history(one.lines));
        std::vector<violation_kind> found;
        for (auto const & broken : verdict.violations)
        {
            found.push_back(broken.kind);
        }
        EXPECT_EQ(found, one.expected) << one.name;
    }
}

TEST(history_checker, counts_each_end)
{
    auto const verdict = check_history(make_history({"invoke c1 - - -",
                                                     "answer c1 t1 n-1 -",
                                                     "invoke c2 - - -",
                                                     "refused c2 t1 n-2 -",
                                                     "invoke c3 - - -",
                                                     "unknown c3 t1 n-3 -"}));
    EXPECT_EQ(verdict.sent, 3U);
    EXPECT_EQ(verdict.answered, 1U);
    EXPECT_EQ(verdict.refused, 1U);
    EXPECT_EQ(verdict.unknown, 1U);
}

TEST(history_record, comes_back_as_it_was_written)
{
    auto record = make_record("answer", "c1", "t1", "n-1", "k1");
    record.digest_got = body_digest("organ");
    record.whole = false;
    record.status = 502;
    failure reason;
    auto const read = read_record(write_record(record), reason);
    ASSERT_TRUE(read.has_value()) << reason.describe();
    EXPECT_EQ(write_record(*read), write_record(record));
    EXPECT_FALSE(read->whole);
}

TEST(history_record, a_line_that_a_kill_cut_is_no_record)
{
    failure reason;
    std::string const line =
        write_record(make_record("start", "c1", "t1", "n-1", "k1"));
    EXPECT_FALSE(
        read_record(line.substr(0, line.size() / 2), reason).has_value());
    EXPECT_EQ(reason.id, failure_id::invalid_message);
}

TEST(body_digest, is_the_usual_checksum_and_the_length)
{
    EXPECT_EQ(body_digest("123456789"), "cbf43926-9");
    EXPECT_EQ(body_digest(""), "00000000-0");
}

} // namespace
} // namespace endivehinge::tools
