#include <cstdint> // int64_t
#include <random>  // mt19937_64
#include <string>  // to_string
#include <vector>  // vector

#include <benchmark/benchmark.h>
#include <malloc.h> // mallinfo2

#include <endivehinge/policy/account_check.hpp>

namespace
{

using namespace endivehinge;

// of the length that deployments use
std::string make_key(std::mt19937_64 & random)
{
    std::string key;
    for (int i = 0; i < 32; ++i)
    {
        key.push_back("abcdefghijklmnopqrstuvwxyz012345"[random() % 32]);
    }
    return key;
}

std::vector<client_account> make_accounts(std::int64_t count)
{
    std::mt19937_64 random(1);
    std::vector<client_account> accounts;
    accounts.reserve(static_cast<std::size_t>(count));
    for (std::int64_t i = 0; i < count; ++i)
    {
        client_account account;
        account.name = account_name("account" + std::to_string(i));
        account.keys = {make_key(random), make_key(random)};
        accounts.push_back(std::move(account));
    }
    return accounts;
}

// what the check adds to a request; without accounts as before they existed
void account_decision_cost(benchmark::State & state)
{
    auto accounts = make_accounts(state.range(0));
    std::vector<client_credentials> requests;
    for (std::size_t i = 0; i < 1024; ++i)
    {
        requests.push_back(
            {credentials_kind::key,
             accounts.empty()
                 ? "key"
                 : accounts[i * 7919 % accounts.size()].keys[i % 2]});
    }
    routing_configuration configuration;
    failure reason;
    if (!accounts.empty() &&
        !configuration.set_accounts(std::move(accounts), reason))
    {
        state.SkipWithError(reason.describe().c_str());
        return;
    }
    std::size_t next = 0;
    for (auto _ : state)
    {
        benchmark::DoNotOptimize(check_account(configuration,
                                               requests[next % 1024],
                                               false,
                                               duration(0),
                                               account_check_bounds()));
        next += 1;
    }
}

BENCHMARK(account_decision_cost)->Arg(0)->Arg(76)->Arg(10000)->Arg(100000);

double allocated_bytes()
{
    auto const usage = ::mallinfo2();
    return static_cast<double>(usage.uordblks + usage.hblkhd);
}

// once for each configuration; the counters are the memory in bytes
void account_directory_build(benchmark::State & state)
{
    failure reason;
    auto const before = allocated_bytes();
    auto const accounts = make_accounts(state.range(0));
    auto const with_accounts = allocated_bytes();
    auto const directory = account_directory::build(accounts, reason);
    state.counters["accounts"] = with_accounts - before;
    state.counters["directory"] = allocated_bytes() - with_accounts;
    for (auto _ : state)
    {
        benchmark::DoNotOptimize(account_directory::build(accounts, reason));
    }
}

BENCHMARK(account_directory_build)
    ->Arg(76)
    ->Arg(10000)
    ->Arg(100000)
    ->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
