#include <endivehinge/detail/log/log.hpp>

#include <iostream> // clog

#include <boost/core/null_deleter.hpp>                   // null_deleter
#include <boost/log/core.hpp>                            // core
#include <boost/log/expressions.hpp>                     // stream, attr
#include <boost/log/sinks/sync_frontend.hpp>             // synchronous_sink
#include <boost/log/sinks/text_ostream_backend.hpp>      // text_ostream_backend
#include <boost/log/sources/record_ostream.hpp>          // BOOST_LOG_SEV
#include <boost/log/sources/severity_logger.hpp>         // severity_logger_mt
#include <boost/log/support/date_time.hpp>               // format_date_time
#include <boost/log/utility/setup/common_attributes.hpp> // add_common_...

namespace endivehinge::detail
{
namespace
{

namespace logging = boost::log;

char const * name_of(log_level level)
{
    switch (level)
    {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "error";
}

logging::sources::severity_logger_mt<log_level> & source()
{
    static logging::sources::severity_logger_mt<log_level> instance;
    return instance;
}

bool needs_quotes(std::string const & value)
{
    return value.empty() || value.find_first_of(" \"=\n") != std::string::npos;
}

void append_value(std::string & line, std::string const & value)
{
    if (!needs_quotes(value))
    {
        line += value;
        return;
    }
    line += '"';
    for (char const letter : value)
    {
        if (letter == '"' || letter == '\\')
        {
            line += '\\';
        }
        line += letter == '\n' ? ' ' : letter;
    }
    line += '"';
}

} // namespace

// found by argument-dependent lookup in the formatter
std::ostream & operator<<(std::ostream & out, log_level level)
{
    return out << name_of(level);
}

logger::logger(std::string_view part)
    : prefix(part)
{
}

void logger::debug(std::string_view sentence,
                   std::initializer_list<log_field> fields) const
{
    this->write(log_level::debug, sentence, fields);
}

void logger::info(std::string_view sentence,
                  std::initializer_list<log_field> fields) const
{
    this->write(log_level::info, sentence, fields);
}

void logger::warning(std::string_view sentence,
                     std::initializer_list<log_field> fields) const
{
    this->write(log_level::warning, sentence, fields);
}

void logger::error(std::string_view sentence,
                   std::initializer_list<log_field> fields) const
{
    this->write(log_level::error, sentence, fields);
}

void logger::write(log_level level,
                   std::string_view sentence,
                   std::initializer_list<log_field> fields) const
{
    std::string line = this->prefix;
    line += ": ";
    line += sentence;
    for (auto const & field : fields)
    {
        line += ' ';
        line += field.name;
        line += '=';
        append_value(line, field.value);
    }
    BOOST_LOG_SEV(source(), level) << line;
}

void start_logging(log_level least)
{
    namespace expressions = logging::expressions;
    using backend = logging::sinks::text_ostream_backend;
    auto const target = boost::make_shared<backend>();
    target->add_stream(
        boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter()));
    target->auto_flush(true);
    auto const sink =
        boost::make_shared<logging::sinks::synchronous_sink<backend>>(target);
    sink->set_formatter(
        expressions::stream
        << expressions::format_date_time<boost::posix_time::ptime>(
               "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
        << ' ' << expressions::attr<log_level>("Severity") << ' '
        << expressions::smessage);
    sink->set_filter(expressions::attr<log_level>("Severity") >= least);
    logging::core::get()->add_sink(sink);
    logging::add_common_attributes();
}

} // namespace endivehinge::detail
