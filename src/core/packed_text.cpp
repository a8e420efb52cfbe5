#include <endivehinge/core/packed_text.hpp>

#include <memory> // unique_ptr

#include <zstd.h> // ZSTD_compress2, ZSTD_decompressDCtx

namespace endivehinge
{
namespace
{

// the fastest of the levels that still find long repetitions
constexpr int compression_level = 1;
// bytes, as a power of two: the base and the text of the longest object that
// the store holds (1 MiB each) lie in one window
constexpr int window_log = 22;

struct context_deleter
{
    void operator()(ZSTD_CCtx * context) const
    {
        ZSTD_freeCCtx(context);
    }

    void operator()(ZSTD_DCtx * context) const
    {
        ZSTD_freeDCtx(context);
    }
};

} // namespace

std::string pack_text(std::string_view text, std::string_view base)
{
    std::unique_ptr<ZSTD_CCtx, context_deleter> const context(
        ZSTD_createCCtx());
    ZSTD_CCtx_setParameter(
        context.get(), ZSTD_c_compressionLevel, compression_level);
    // detects another base
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
    if (!base.empty())
    {
        ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, window_log);
        ZSTD_CCtx_setParameter(
            context.get(), ZSTD_c_enableLongDistanceMatching, 1);
        ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
    }
    std::string packed(ZSTD_compressBound(text.size()), '\0');
    auto const size = ZSTD_compress2(
        context.get(), packed.data(), packed.size(), text.data(), text.size());
    packed.resize(ZSTD_isError(size) != 0 ? 0 : size);
    return packed;
}

std::optional<std::string> unpack_text(std::string_view packed,
                                       std::string_view base,
                                       std::size_t max_bytes)
{
    auto const stated_size =
        ZSTD_getFrameContentSize(packed.data(), packed.size());
    if (stated_size == ZSTD_CONTENTSIZE_ERROR ||
        stated_size == ZSTD_CONTENTSIZE_UNKNOWN || stated_size > max_bytes)
    {
        return std::nullopt;
    }
    std::unique_ptr<ZSTD_DCtx, context_deleter> const context(
        ZSTD_createDCtx());
    ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, window_log);
    if (!base.empty())
    {
        ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
    }
    std::string text(static_cast<std::size_t>(stated_size), '\0');
    auto const size = ZSTD_decompressDCtx(
        context.get(), text.data(), text.size(), packed.data(), packed.size());
    if (ZSTD_isError(size) != 0 || size != text.size())
    {
        return std::nullopt;
    }
    return text;
}

} // namespace endivehinge
