#include <common/tool_options.hpp>

#include <absl/strings/numbers.h> // SimpleAtoi

namespace endivehinge::tools
{

tool_options::tool_options(int argc, char ** argv)
{
    for (int i = 1; i + 1 < argc; i += 2)
    {
        std::string name = argv[i];
        if (name.rfind("--", 0) == 0)
        {
            name = name.substr(2);
        }
        this->values[name] = argv[i + 1];
    }
}

std::string tool_options::text(std::string const & name,
                               std::string const & fallback) const
{
    auto const found = this->values.find(name);
    return found == this->values.end() ? fallback : found->second;
}

std::int64_t tool_options::number(std::string const & name,
                                  std::int64_t fallback) const
{
    std::int64_t value = 0;
    return absl::SimpleAtoi(this->text(name, ""), &value) ? value : fallback;
}

} // namespace endivehinge::tools
