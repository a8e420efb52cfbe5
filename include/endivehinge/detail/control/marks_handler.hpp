#ifndef ENDIVEHINGE_DETAIL_CONTROL_MARKS_HANDLER_HPP
#define ENDIVEHINGE_DETAIL_CONTROL_MARKS_HANDLER_HPP

#include <coordination.pb.h> // wire::share_marks_request

namespace endivehinge::detail
{

/// @brief takes in which requests crash the targets that run them
class marks_handler
{
public:
    marks_handler() = default;
    marks_handler(marks_handler const &) = delete;
    marks_handler & operator=(marks_handler const &) = delete;
    virtual ~marks_handler() = default;

    /// @brief takes in the marks of a peer
    /// @note thread safety: several threads at a time
    virtual void share_marks(wire::share_marks_request const & request) = 0;
};

} // namespace endivehinge::detail

#endif
