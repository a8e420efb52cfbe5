#include <endivehinge/core/packed_text.hpp>

#include <memory>  // unique_ptr
#include <utility> // move

#include <zstd.h> // ZSTD_compress2, ZSTD_decompressStream

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
    std::unique_ptr<ZSTD_DCtx, context_deleter> const context(
        ZSTD_createDCtx());
    ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, window_log);
    if (!base.empty())
    {
        ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
    }
    ZSTD_inBuffer input{packed.data(), packed.size(), 0};
    std::string part(ZSTD_DStreamOutSize(), '\0');
    std::string text;
    for (;;)
    {
        ZSTD_outBuffer output{part.data(), part.size(), 0};
        auto const missing =
            ZSTD_decompressStream(context.get(), &output, &input);
        if (ZSTD_isError(missing) != 0 || output.pos > max_bytes - text.size())
        {
            return std::nullopt;
        }
        text.append(part.data(), output.pos);
        bool const is_complete = missing == 0;
        if (is_complete || output.pos == 0)
        {
            return is_complete && input.pos == input.size
                       ? std::optional<std::string>(std::move(text))
                       : std::nullopt;
        }
    }
}

} // namespace endivehinge
