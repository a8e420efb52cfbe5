#include <endivehinge/detail/gateway/store_era_reader.hpp>

#include <utility> // move

#include <absl/strings/str_cat.h> // StrCat

namespace endivehinge::detail
{

store_era_reader::store_era_reader(store_adapter const & codec,
                                   event_log & events)
    : adapter(codec)
    , log(events)
{
}

void store_era_reader::on_rise(std::function<void()> callback)
{
    this->rise_callback = std::move(callback);
}

std::optional<store_era> store_era_reader::read(response_message const & answer)
{
    auto const era = this->adapter.read_era(answer);
    if (era)
    {
        return this->note(*era) ? era : std::nullopt;
    }
    if (!this->unknown_logged)
    {
        this->unknown_logged = true;
        this->log.write(
            "store_era_unknown",
            {{"status", absl::StrCat(answer.result_int())},
             {"era", absl::StrCat(this->tracker.newest().value())}});
    }
    return this->tracker.newest();
}

void store_era_reader::learn(store_era era)
{
    static_cast<void>(this->note(era));
}

store_era store_era_reader::newest() const
{
    return this->tracker.newest();
}

/// @return false if the era is an earlier one
bool store_era_reader::note(store_era era)
{
    auto const change = this->tracker.note(era);
    if (change == era_change::rose && this->rise_callback)
    {
        this->rise_callback();
    }
    return change != era_change::earlier;
}

} // namespace endivehinge::detail
