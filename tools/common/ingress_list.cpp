#include <common/ingress_list.hpp>

#include <algorithm> // find, remove

namespace endivehinge::tools
{

void ingress_list::add(endpoint const & node)
{
    absl::MutexLock lock(&this->mutex);
    this->nodes.push_back(node);
}

void ingress_list::remove(endpoint const & node)
{
    absl::MutexLock lock(&this->mutex);
    this->nodes.erase(std::remove(this->nodes.begin(), this->nodes.end(), node),
                      this->nodes.end());
}

void ingress_list::excuse(endpoint const & node)
{
    absl::MutexLock lock(&this->mutex);
    this->excused.push_back(node);
}

bool ingress_list::is_excused(endpoint const & node) const
{
    absl::MutexLock lock(&this->mutex);
    return std::find(this->excused.begin(), this->excused.end(), node) !=
           this->excused.end();
}

std::optional<endpoint>
ingress_list::choose(std::size_t draw,
                     std::optional<endpoint> const & last) const
{
    absl::MutexLock lock(&this->mutex);
    if (this->nodes.empty())
    {
        return std::nullopt;
    }
    std::size_t const index = draw % this->nodes.size();
    bool const is_last = last.has_value() && this->nodes[index] == *last;
    return this->nodes[(index + (is_last ? 1 : 0)) % this->nodes.size()];
}

} // namespace endivehinge::tools
