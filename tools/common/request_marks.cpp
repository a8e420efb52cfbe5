#include <common/request_marks.hpp>

#include <absl/strings/str_cat.h>   // StrCat
#include <absl/strings/str_join.h>  // StrJoin
#include <absl/strings/str_split.h> // StrSplit

#include <common/query.hpp>

namespace endivehinge::tools
{

bool request_marks::wants_report() const
{
    return !this->call.empty();
}

request_marks read_marks(std::string const & path)
{
    request_marks marks;
    marks.call = query_text(path, "call");
    marks.attempt = query_text(path, "try");
    marks.chain =
        absl::StrSplit(query_text(path, "chain"), '.', absl::SkipEmpty());
    marks.payload_bytes = query_number(path, "bytes", 0);
    return marks;
}

std::string write_marks(request_marks const & marks)
{
    std::string const chain =
        marks.chain.empty()
            ? std::string()
            : absl::StrCat("&chain=", absl::StrJoin(marks.chain, "."));
    return absl::StrCat("?call=",
                        marks.call,
                        "&try=",
                        marks.attempt,
                        "&bytes=",
                        marks.payload_bytes,
                        chain);
}

service_name service_of(std::string const & path)
{
    auto const segments = path_segments(path);
    return service_name(segments.empty() ? std::string() : segments.front());
}

} // namespace endivehinge::tools
