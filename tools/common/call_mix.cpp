#include <common/call_mix.hpp>

#include <utility> // move

#include <absl/strings/str_cat.h>    // StrCat
#include <absl/strings/str_format.h> // StrFormat

namespace endivehinge::tools
{
namespace
{

constexpr std::uint64_t low_12_bits = 0xfff;
constexpr std::uint64_t low_16_bits = 0xffff;
constexpr std::uint64_t low_48_bits = 0xffffffffffff;
constexpr std::uint64_t version_7 = 0x7000;
constexpr std::uint64_t variant_rfc = 0x8000;
constexpr std::uint64_t variant_bits = 0x3fff;

} // namespace

std::string make_uuid_v7(wall_time now, std::mt19937_64 & random)
{
    auto const unix_ms = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            now.time_since_epoch())
            .count());
    std::uint64_t const first = random();
    std::uint64_t const second = random();
    return absl::StrFormat("%08x-%04x-%04x-%04x-%012x",
                           (unix_ms >> 16) & 0xffffffff,
                           unix_ms & low_16_bits,
                           version_7 | (first & low_12_bits),
                           variant_rfc | ((first >> 16) & variant_bits),
                           second & low_48_bits);
}

call_mix::call_mix(std::vector<call_kind> all,
                   std::string name,
                   std::uint64_t seed)
    : kinds(std::move(all))
    , caller(std::move(name))
    , random(seed)
{
}

call_plan call_mix::next(wall_time now)
{
    call_plan plan;
    plan.kind = this->choose();
    plan.call = absl::StrCat(this->caller, "-", ++this->count);
    plan.body = std::string(this->below(plan.kind.largest_body_bytes + 1),
                            static_cast<char>('a' + this->below(26)));
    if (plan.kind.largest_body_bytes > 0)
    {
        // no two calls send the same body
        plan.body = absl::StrCat(plan.call, " ", plan.body);
    }
    plan.answer_bytes = this->below(plan.kind.largest_answer_bytes + 1);
    if (plan.kind.keyed)
    {
        plan.key = idempotency_key(make_uuid_v7(now, this->random));
    }
    return plan;
}

duration call_mix::pause(duration mean)
{
    std::exponential_distribution<double> spread(1.0);
    return std::chrono::duration_cast<duration>(mean * spread(this->random));
}

std::size_t call_mix::below(std::size_t bound)
{
    return std::uniform_int_distribution<std::size_t>(0,
                                                      bound - 1)(this->random);
}

call_kind const & call_mix::choose()
{
    std::vector<int> weights;
    weights.reserve(this->kinds.size());
    for (auto const & kind : this->kinds)
    {
        weights.push_back(kind.weight);
    }
    std::discrete_distribution<std::size_t> spread(weights.begin(),
                                                   weights.end());
    return this->kinds[spread(this->random)];
}

} // namespace endivehinge::tools
