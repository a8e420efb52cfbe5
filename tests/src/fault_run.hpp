#ifndef ENDIVEHINGE_TESTS_FAULT_RUN_HPP
#define ENDIVEHINGE_TESTS_FAULT_RUN_HPP

#include <csignal> // SIGKILL, SIGSTOP
#include <memory>  // unique_ptr
#include <string>  // string
#include <vector>  // vector

#include <absl/time/clock.h> // SleepFor

#include <common/caller_group.hpp>
#include <common/control_client.hpp>
#include <common/history_checker.hpp>
#include <common/local_deployment.hpp>

#include "temporary_folder.hpp"

namespace endivehinge::tests
{

/// @brief a small deployment under load, for one fault and its history
/// @note three instances of booking, the first behind a relay, and two of
///       listings
class fault_run
{
public:
    static constexpr std::size_t first_booking = 0;
    static constexpr std::size_t second_booking = 1;
    static constexpr std::size_t first_listings = 3;

    explicit fault_run(std::string const & programs)
        : deployment(programs, this->folder.path())
        , history(this->callers_path())
    {
        this->deployment.write_history(this->targets_path());
    }

    /// @brief starts the deployment and lets callers call
    bool start(std::uint64_t seed, failure & reason)
    {
        if (!this->deployment.start_platform(configuration(), reason))
        {
            return false;
        }
        for (auto const & plan : instances())
        {
            if (!this->deployment.start_instance(plan, reason))
            {
                return false;
            }
        }
        if (!this->deployment.wait_until_joined(absl::Seconds(20)))
        {
            reason.detail = "the nodes did not join";
            return false;
        }
        for (std::size_t i = 0; i < this->deployment.size(); ++i)
        {
            this->nodes.add(this->deployment.ingress(i));
        }
        tools::caller_group_plan load;
        load.kinds = kinds();
        load.seed = seed;
        this->callers = std::make_unique<tools::caller_group>(
            load, this->nodes, this->history);
        return true;
    }

    /// @brief lets so many more calls end
    bool let_end(std::uint64_t calls)
    {
        std::uint64_t const wanted = this->callers->ended() + calls;
        absl::Time const end = absl::Now() + absl::Seconds(60);
        while (this->callers->ended() < wanted && absl::Now() < end)
        {
            absl::SleepFor(absl::Milliseconds(5));
        }
        return this->callers->ended() >= wanted;
    }

    /// @brief ends the callers, waits for late runs and checks the history
    tools::history_verdict finish()
    {
        this->callers->stop();
        absl::SleepFor(absl::FromChrono(call_deadline));
        auto records = tools::read_history(this->callers_path());
        auto const targets = tools::read_history(this->targets_path());
        records.insert(records.end(), targets.begin(), targets.end());
        return tools::check_history(records);
    }

    /// @brief callers ask this node no more
    void forget_node(std::size_t index)
    {
        this->nodes.remove(this->deployment.ingress(index));
    }

    /// @brief callers do not count silence of this node
    void excuse_node(std::size_t index)
    {
        this->nodes.excuse(this->deployment.ingress(index));
    }

    tools::running_instance & instance(std::size_t index)
    {
        return this->deployment.instance(index);
    }

    bool control(tools::child_process & stand_in, nlohmann::json const & fields)
    {
        failure reason;
        return tools::control(stand_in, fields, reason);
    }

    tools::child_process & platform()
    {
        return this->deployment.platform();
    }

private:
    static constexpr duration call_deadline = std::chrono::seconds(1);

    static std::string configuration()
    {
        return R"(
services:
  - name: booking
    deadline_ms: 1000
    routes:
      - {method: POST, path: /booking/, repeatable: false}
  - name: listings
    deadline_ms: 1000
    depends_on: [booking]
    routes:
      - {method: GET, path: /listings/, repeatable: true}
)";
    }

    static std::vector<tools::instance_plan> instances()
    {
        std::vector<std::string> const arguments = {"--service_us",
                                                    "15000",
                                                    "--tail_percent",
                                                    "5",
                                                    "--tail_factor",
                                                    "5"};
        return {{"booking-1", "booking", "a", arguments, true},
                {"booking-2", "booking", "b", arguments},
                {"booking-3", "booking", "c", arguments},
                {"listings-1", "listings", "a", arguments},
                {"listings-2", "listings", "b", arguments}};
    }

    static std::vector<tools::call_kind> kinds()
    {
        tools::call_kind keyed;
        keyed.weight = 6;
        keyed.method = "POST";
        keyed.service = service_name("booking");
        keyed.path = "/hours";
        keyed.repeatable = false;
        keyed.keyed = true;
        keyed.largest_body_bytes = 2000;
        keyed.deadline = call_deadline;
        tools::call_kind plain = keyed;
        plain.weight = 1;
        plain.keyed = false;
        tools::call_kind read;
        read.weight = 3;
        read.service = service_name("listings");
        read.path = "/today";
        read.largest_answer_bytes = 100000;
        read.deadline = call_deadline;
        return {keyed, plain, read};
    }

    std::string callers_path() const
    {
        return this->folder.path() + "/callers.jsonl";
    }

    std::string targets_path() const
    {
        return this->folder.path() + "/targets.jsonl";
    }

    temporary_folder folder;
    tools::local_deployment deployment;
    tools::ingress_list nodes;
    tools::history_log history;
    std::unique_ptr<tools::caller_group> callers;
};

} // namespace endivehinge::tests

#endif
