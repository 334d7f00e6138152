#include "chervilport/transport/detail/packed_stream.h"

#include "chervilport/transport/detail/kj_error.h"

#include <capnp/serialize-packed.h>
#include <kj/debug.h>
#include <kj/io.h>
#include <kj/vector.h>

#include <cstring>
#include <utility>

namespace chervilport {

namespace {

    constexpr std::size_t lengthBytes = 4;

    /// Packs one message behind its length.
    kj::Array<kj::byte> frameOf(kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments)
    {
        kj::VectorOutputStream packed(512);
        capnp::writePackedMessage(packed, segments);
        auto body = packed.getArray();
        requireOnWire(body.size() <= UINT32_MAX, "message to a peer is too large");
        auto frame = kj::heapArray<kj::byte>(lengthBytes + body.size());
        for (std::size_t i = 0; i < lengthBytes; ++i)
            frame[i] = static_cast<kj::byte>(body.size() >> (8 * i));
        std::memcpy(frame.begin() + lengthBytes, body.begin(), body.size());
        return frame;
    }

    /// A reader together with the bytes that it unpacks.
    struct frame_reader {
        kj::Array<kj::byte> bytes;
        kj::ArrayInputStream input;
        capnp::PackedMessageReader reader;

        frame_reader(kj::Array<kj::byte> packed, capnp::ReaderOptions options)
            : bytes(kj::mv(packed))
            , input(bytes)
            , reader(input, options)
        {
        }
    };

} // namespace

packed_stream::packed_stream(kj::AsyncIoStream& stream, std::size_t limitBytes, traffic_callback traffic)
    : m_stream(stream)
    , m_limitBytes(limitBytes)
    , m_traffic(std::move(traffic))
{
}

kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> packed_stream::tryReadMessage(
    kj::ArrayPtr<kj::AutoCloseFd>, capnp::ReaderOptions options, kj::ArrayPtr<capnp::word>)
{
    return m_stream.tryRead(m_length, lengthBytes, lengthBytes)
        .then([this, options](std::size_t count) -> kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> {
            m_traffic(count, 0);
            if (count == 0)
                return kj::Maybe<capnp::MessageReaderAndFds>(nullptr);
            if (count < lengthBytes)
                kj::throwFatalException(KJ_EXCEPTION(DISCONNECTED, "connection ended inside a message"));
            std::uint32_t packedBytes = 0;
            for (std::size_t i = 0; i < lengthBytes; ++i)
                packedBytes |= std::uint32_t { m_length[i] } << (8 * i);
            return readBody(packedBytes, options);
        });
}

kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> packed_stream::readBody(
    std::uint32_t packedBytes, capnp::ReaderOptions options)
{
    // Packing adds at most one byte per word, and a length byte per 255 words.
    requireOnWire(packedBytes <= m_limitBytes + m_limitBytes / 4, "message of a peer is too large");
    options.traversalLimitInWords = m_limitBytes / sizeof(capnp::word);
    auto bytes = kj::heapArray<kj::byte>(packedBytes);
    auto* begin = bytes.begin();
    return m_stream.tryRead(begin, packedBytes, packedBytes)
        .then([this, options, packedBytes, bytes = kj::mv(bytes)](
                  std::size_t count) mutable -> kj::Maybe<capnp::MessageReaderAndFds> {
            m_traffic(count, 0);
            if (count < packedBytes)
                kj::throwFatalException(KJ_EXCEPTION(DISCONNECTED, "connection ended inside a message"));
            auto frame = kj::heap<frame_reader>(kj::mv(bytes), options);
            auto& reader = frame->reader;
            kj::Own<capnp::MessageReader> owner(&reader, kj::NullDisposer::instance);
            return capnp::MessageReaderAndFds { owner.attach(kj::mv(frame)), nullptr };
        });
}

kj::Promise<void> packed_stream::writeMessage(
    kj::ArrayPtr<const int>, kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments)
{
    return writeBytes(frameOf(segments));
}

kj::Promise<void> packed_stream::writeMessages(
    kj::ArrayPtr<kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>> messages)
{
    kj::Vector<kj::byte> all;
    for (auto& segments : messages)
        all.addAll(frameOf(segments));
    return writeBytes(all.releaseAsArray());
}

kj::Promise<void> packed_stream::writeBytes(kj::Array<kj::byte> bytes)
{
    m_traffic(0, bytes.size());
    const auto* begin = bytes.begin();
    return m_stream.write(begin, bytes.size()).attach(kj::mv(bytes));
}

kj::Maybe<int> packed_stream::getSendBufferSize() { return nullptr; }

kj::Promise<void> packed_stream::end()
{
    m_stream.shutdownWrite();
    return kj::READY_NOW;
}

} // namespace chervilport
