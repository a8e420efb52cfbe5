#ifndef ENDIVEHINGE_CORE_STRONG_TYPE_HPP
#define ENDIVEHINGE_CORE_STRONG_TYPE_HPP

#include <ostream> // ostream
#include <string>  // string
#include <utility> // move

namespace endivehinge
{

/// @brief wraps a value in a distinct type for each kind of value
/// @tparam Tag a type that distinguishes kinds of values; may be incomplete
/// @tparam Value the underlying type
/// @note thread safety: that of the underlying type
template <class Tag, class Value>
class strong_type
{
public:
    strong_type() = default;

    explicit strong_type(Value initial)
        : representation(std::move(initial))
    {
    }

    /// @brief the underlying value
    [[nodiscard]] Value const & value() const
    {
        return this->representation;
    }

    friend bool operator==(strong_type const & a, strong_type const & b)
    {
        return a.representation == b.representation;
    }

    friend bool operator!=(strong_type const & a, strong_type const & b)
    {
        return !(a == b);
    }

    friend bool operator<(strong_type const & a, strong_type const & b)
    {
        return a.representation < b.representation;
    }

    friend bool operator>(strong_type const & a, strong_type const & b)
    {
        return b < a;
    }

    friend bool operator<=(strong_type const & a, strong_type const & b)
    {
        return !(b < a);
    }

    friend bool operator>=(strong_type const & a, strong_type const & b)
    {
        return !(a < b);
    }

    friend std::ostream & operator<<(std::ostream & out, strong_type const & v)
    {
        return out << v.representation;
    }

    template <class Hash>
    friend Hash AbslHashValue(Hash state, strong_type const & v) // NOLINT
    {
        return Hash::combine(std::move(state), v.representation);
    }

private:
    Value representation{};
};

} // namespace endivehinge

#endif
