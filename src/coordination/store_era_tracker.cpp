#include <endivehinge/coordination/store_era_tracker.hpp>

namespace endivehinge
{

era_change store_era_tracker::note(store_era era)
{
    if (era == store_era() || era == this->newest_era)
    {
        return era_change::same;
    }
    if (era < this->newest_era)
    {
        return era_change::earlier;
    }
    bool const is_first = this->newest_era == store_era();
    this->newest_era = era;
    return is_first ? era_change::same : era_change::rose;
}

store_era store_era_tracker::newest() const
{
    return this->newest_era;
}

} // namespace endivehinge
