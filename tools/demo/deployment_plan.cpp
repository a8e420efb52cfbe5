#include "deployment_plan.hpp"

#include <absl/strings/str_cat.h> // StrCat

namespace endivehinge::demo
{
namespace
{

using tools::call_kind;

constexpr std::size_t small_body_bytes = 2048;
constexpr std::size_t large_body_bytes = std::size_t{64} * 1024;
constexpr std::size_t large_answer_bytes = std::size_t{256} * 1024;

// what the targets of one deployment offer
struct target_size
{
    int slots;
    int connections;
    int service_us;
};

void add_service(deployment_plan & plan,
                 std::string const & service,
                 int workers,
                 std::vector<std::string> const & domains,
                 target_size const & size,
                 std::uint64_t seed)
{
    for (int i = 0; i < workers; ++i)
    {
        tools::instance_plan instance;
        instance.name = absl::StrCat(service, "-", i + 1);
        instance.service = service;
        instance.failure_domain =
            domains[static_cast<std::size_t>(i) % domains.size()];
        instance.target_arguments = {
            "--slots",
            absl::StrCat(size.slots),
            "--connections",
            absl::StrCat(size.connections),
            "--service_us",
            absl::StrCat(size.service_us),
            "--tail_percent",
            "5",
            "--tail_factor",
            "8",
            "--phase",
            "cold",
            "--seed",
            absl::StrCat(seed + plan.instances.size())};
        instance.target_behind_relay = instance.name == plan.behind_relay;
        plan.instances.push_back(instance);
    }
}

call_kind make_read(int weight,
                    std::string const & service,
                    std::vector<std::string> chain)
{
    call_kind kind;
    kind.weight = weight;
    kind.service = service_name(service);
    kind.path = "/read";
    kind.chain = std::move(chain);
    kind.largest_answer_bytes = large_answer_bytes;
    return kind;
}

call_kind make_keyed_write(int weight, std::string const & service)
{
    call_kind kind;
    kind.weight = weight;
    kind.method = "POST";
    kind.service = service_name(service);
    kind.path = "/commit";
    kind.repeatable = false;
    kind.keyed = true;
    kind.largest_body_bytes = small_body_bytes;
    return kind;
}

call_kind make_plain_write(int weight, std::string const & service)
{
    call_kind kind = make_keyed_write(weight, service);
    kind.path = "/draft";
    kind.keyed = false;
    kind.largest_body_bytes = large_body_bytes;
    return kind;
}

call_kind make_check(int weight, std::string const & service)
{
    call_kind kind = make_read(weight, service, {});
    kind.path = "/check";
    kind.internal_check = true;
    kind.largest_answer_bytes = 0;
    kind.deadline = std::chrono::seconds(1);
    return kind;
}

} // namespace

deployment_plan make_directorate(std::uint64_t seed)
{
    std::vector<std::string> const domains = {
        "almaty-a", "almaty-b", "astana-a"};
    target_size const size{20, 250, 3000};
    deployment_plan plan;
    plan.name = "directorate";
    plan.straggler = "listings-1";
    plan.killed = "booking-1";
    plan.behind_relay = "archive-3";
    plan.drained_domain = "almaty-b";
    add_service(plan, "listings", 4, domains, size, seed);
    add_service(plan, "filing", 3, domains, size, seed);
    add_service(plan, "booking", 3, domains, size, seed);
    add_service(plan, "archive", 3, domains, size, seed);
    plan.load = {make_read(40, "listings", {}),
                 make_read(10, "listings", {"archive"}),
                 make_read(10, "archive", {}),
                 make_keyed_write(18, "booking"),
                 make_keyed_write(8, "filing"),
                 make_plain_write(4, "filing"),
                 make_check(5, "booking"),
                 make_check(5, "archive")};
    return plan;
}

deployment_plan make_trust(std::uint64_t seed)
{
    std::vector<std::string> const domains = {
        "lahore-a", "lahore-b", "multan-a"};
    target_size const size{10, 200, 4000};
    deployment_plan plan;
    plan.name = "trust";
    plan.straggler = "routes-1";
    plan.killed = "payouts-1";
    plan.behind_relay = "seats-3";
    plan.drained_domain = "lahore-b";
    add_service(plan, "routes", 4, domains, size, seed);
    add_service(plan, "seats", 3, domains, size, seed);
    add_service(plan, "payouts", 3, domains, size, seed);
    add_service(plan, "attendance", 3, domains, size, seed);
    plan.load = {make_read(40, "routes", {}),
                 make_read(10, "attendance", {"routes"}),
                 make_read(10, "attendance", {}),
                 make_keyed_write(12, "seats"),
                 make_keyed_write(14, "payouts"),
                 make_plain_write(4, "attendance"),
                 make_check(5, "routes"),
                 make_check(5, "attendance")};
    return plan;
}

} // namespace endivehinge::demo
