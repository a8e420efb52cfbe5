#include <endivehinge/coordination/text_history.hpp>

#include <algorithm> // find_if, max

#include <endivehinge/core/packed_text.hpp>
#include <endivehinge/core/stable_hash.hpp>

namespace endivehinge
{
namespace
{

// bounds memory, at 1 MiB a text at most; nodes are rarely further behind
constexpr std::size_t max_texts = 5;

} // namespace

std::uint64_t text_history::digest_of(std::string const & text)
{
    return std::max<std::uint64_t>(stable_hash(text), 1);
}

void text_history::record(std::string const & text)
{
    auto const digest = digest_of(text);
    if (digest == this->newest_digest())
    {
        return;
    }
    this->packed_texts.clear();
    this->texts.push_front({digest, std::make_shared<std::string const>(text)});
    if (this->texts.size() > max_texts)
    {
        this->texts.pop_back();
    }
}

text_history::text_pointer text_history::newest() const
{
    return this->texts.empty() ? nullptr : this->texts.front().text;
}

std::uint64_t text_history::newest_digest() const
{
    return this->texts.empty() ? 0 : this->texts.front().digest;
}

bool text_history::holds(std::uint64_t digest) const
{
    return this->find(digest) != nullptr;
}

std::string const & text_history::packed(std::uint64_t base_digest)
{
    auto const * const base = this->find(base_digest);
    auto & result = this->packed_texts[base != nullptr ? base_digest : 0];
    if (result.empty())
    {
        result = pack_text(*this->newest(),
                           base != nullptr ? *base->text : std::string());
    }
    return result;
}

text_history::known_text const * text_history::find(std::uint64_t digest) const
{
    auto const found = std::find_if(this->texts.begin(),
                                    this->texts.end(),
                                    [digest](auto const & known)
                                    {
                                        return known.digest == digest;
                                    });
    return found == this->texts.end() ? nullptr : &*found;
}

} // namespace endivehinge
