#include "chervilport/transport/detail/packed_stream.h"

#include "chervilport/transport/detail/kj_error.h"

#include <capnp/rpc.capnp.h>
#include <capnp/serialize-packed.h>
#include <kj/debug.h>
#include <kj/io.h>
#include <kj/vector.h>

#include <cstring>
#include <utility>

namespace chervilport {

namespace {

    /// Bytes of the length before each message.
    constexpr std::size_t lengthBytes = 4;

    /// A peer keeps the results of a call until it receives `Finish`, so the number and the delay are bounded. The
    /// delay is above the heartbeat interval of the fleet scope.
    constexpr std::size_t maxDelayedMessages = 4;
    const kj::Duration maxFinishDelay = 1200 * kj::MILLISECONDS;

    bool isFinish(kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments)
    {
        capnp::SegmentArrayMessageReader reader(segments);
        return reader.getRoot<capnp::rpc::Message>().isFinish();
    }

    /// Returns the length of the packed message, followed by the packed message.
    kj::Array<kj::byte> frameOf(kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments)
    {
        kj::VectorOutputStream packed(512);
        capnp::writePackedMessage(packed, segments);
        auto body = packed.getArray();
        requireOrFail(body.size() <= UINT32_MAX, "message to a peer is too large");
        auto frame = kj::heapArray<kj::byte>(lengthBytes + body.size());
        for (std::size_t i = 0; i < lengthBytes; ++i)
            frame[i] = static_cast<kj::byte>(body.size() >> (8 * i));
        std::memcpy(frame.begin() + lengthBytes, body.begin(), body.size());
        return frame;
    }

    /// A message reader that owns the packed bytes.
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
    , m_onTraffic(std::move(traffic))
{
}

kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> packed_stream::tryReadMessage(
    kj::ArrayPtr<kj::AutoCloseFd>, capnp::ReaderOptions options, kj::ArrayPtr<capnp::word>)
{
    return m_stream.tryRead(m_length, lengthBytes, lengthBytes)
        .then([this, options](std::size_t count) -> kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> {
            m_onTraffic(count, 0);
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
    requireOrFail(packedBytes <= m_limitBytes + m_limitBytes / 4, "message from a peer is too large");
    options.traversalLimitInWords = m_limitBytes / sizeof(capnp::word);
    auto bytes = kj::heapArray<kj::byte>(packedBytes);
    auto* begin = bytes.begin();
    return m_stream.tryRead(begin, packedBytes, packedBytes)
        .then([this, options, packedBytes, bytes = kj::mv(bytes)](
                  std::size_t count) mutable -> kj::Maybe<capnp::MessageReaderAndFds> {
            m_onTraffic(count, 0);
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
    auto frame = frameOf(segments);
    if (delayIfFinish(segments, frame))
        return kj::READY_NOW;
    return writeBytes(kj::mv(frame));
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
    // Write the delayed messages first, in the same TCP segment.
    if (!m_delayed.empty()) {
        m_delayed.addAll(bytes);
        bytes = m_delayed.releaseAsArray();
        m_delayed = kj::Vector<kj::byte>();
        m_delayedMessages = 0;
    }
    m_onTraffic(0, bytes.size());
    auto written = m_lastWrite
                       .then([this, bytes = kj::mv(bytes)]() mutable {
                           const auto* begin = bytes.begin();
                           return m_stream.write(begin, bytes.size()).attach(kj::mv(bytes));
                       })
                       .fork();
    m_lastWrite = written.addBranch();
    return written.addBranch();
}

void packed_stream::delayFinish(kj::Timer& timer) { m_delayTimer = timer; }

bool packed_stream::delayIfFinish(
    kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments, kj::ArrayPtr<const kj::byte> frame)
{
    if (m_delayTimer == nullptr || m_delayedMessages >= maxDelayedMessages || !isFinish(segments))
        return false;
    m_delayed.addAll(frame);
    if (++m_delayedMessages == 1)
        m_flush = flushLater().eagerlyEvaluate(
            [](kj::Exception&&) { /* The next read or write fails with the same error. */ });
    return true;
}

kj::Promise<void> packed_stream::flushLater()
{
    KJ_IF_MAYBE (timer, m_delayTimer) {
        return timer->afterDelay(maxFinishDelay).then([this]() -> kj::Promise<void> {
            if (m_delayed.empty())
                return kj::READY_NOW;
            return writeBytes({});
        });
    }
    return kj::READY_NOW;
}

kj::Maybe<int> packed_stream::getSendBufferSize() { return nullptr; }

kj::Promise<void> packed_stream::end()
{
    m_stream.shutdownWrite();
    return kj::READY_NOW;
}

} // namespace chervilport
