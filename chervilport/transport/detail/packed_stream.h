#pragma once

#include <capnp/serialize-async.h>
#include <kj/async-io.h>
#include <kj/timer.h>
#include <kj/vector.h>

#include <cstddef>
#include <cstdint>
#include <functional>

namespace chervilport {

/// A message stream of packed Cap'n Proto messages: each is preceded by the number of its packed bytes as 32 bits,
/// least significant byte first. Packing makes the calls of a heartbeat less than half as long as the plain form.
class packed_stream final : public capnp::MessageStream {
public:
    /// Reports bytes read and written.
    using traffic_callback = std::function<void(std::uint64_t bytesIn, std::uint64_t bytesOut)>;

    /// Creates the stream over a connection that has to outlive it, with the bound on one unpacked message.
    packed_stream(kj::AsyncIoStream&, std::size_t limitBytes, traffic_callback);

    /// Makes `Finish` messages wait for the next message, at most `longestHold`. A heartbeat with its answer then takes
    /// 6 TCP segments instead of 10; the headers of the segments are more than half of its cost.
    void delayFinish(kj::Timer&);

    /// Sets the bound on the messages read from now on.
    void setLimit(std::size_t limitBytes) { m_limitBytes = limitBytes; }

    kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> tryReadMessage(kj::ArrayPtr<kj::AutoCloseFd> fdSpace,
        capnp::ReaderOptions options, kj::ArrayPtr<capnp::word> scratchSpace) override;
    kj::Promise<void> writeMessage(
        kj::ArrayPtr<const int> fds, kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments) override;
    kj::Promise<void> writeMessages(
        kj::ArrayPtr<kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>> messages) override;
    kj::Maybe<int> getSendBufferSize() override;
    kj::Promise<void> end() override;

private:
    kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> readBody(std::uint32_t packedBytes, capnp::ReaderOptions);
    kj::Promise<void> writeBytes(kj::Array<kj::byte>);
    bool delayIfFinish(
        kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments, kj::ArrayPtr<const kj::byte> frame);
    kj::Promise<void> flushLater();

    kj::AsyncIoStream& m_stream;
    std::size_t m_limitBytes;
    traffic_callback m_onTraffic;
    kj::byte m_length[4] = {};
    /// End of the writes so far; the flush of held messages must not overlap one of the RPC system.
    kj::Promise<void> m_lastWrite = kj::READY_NOW;
    kj::Maybe<kj::Timer&> m_delayTimer;
    kj::Vector<kj::byte> m_delayed;
    std::size_t m_delayedMessages = 0;
    kj::Promise<void> m_flush = kj::READY_NOW;
};

} // namespace chervilport
