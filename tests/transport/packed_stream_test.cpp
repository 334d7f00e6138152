#include "chervilport/transport/detail/packed_stream.h"

#include <capnp/message.h>
#include <capnp/rpc.capnp.h>
#include <criterion/criterion.h>
#include <kj/async-io.h>
#include <kj/timer.h>

#include <cstring>

using namespace chervilport;

namespace {

/// Two streams that are connected in memory, with a clock that the test advances.
struct stream_pair {
    kj::EventLoop loop;
    kj::WaitScope scope { loop };
    kj::TimerImpl timer { kj::origin<kj::TimePoint>() };
    kj::TwoWayPipe pipe = kj::newTwoWayPipe();
    std::uint64_t bytesOut = 0;
    packed_stream writer { *pipe.ends[0], 4096, [this](std::uint64_t, std::uint64_t out) { bytesOut += out; } };
    packed_stream reader { *pipe.ends[1], 4096, [](std::uint64_t, std::uint64_t) {} };

    kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> read() { return reader.tryReadMessage(nullptr, {}, nullptr); }

    kj::Promise<void> writeFinish(unsigned question)
    {
        capnp::MallocMessageBuilder builder;
        builder.initRoot<capnp::rpc::Message>().initFinish().setQuestionId(question);
        return writer.writeMessage(nullptr, builder.getSegmentsForOutput());
    }

    bool isFinish(kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> promise)
    {
        KJ_IF_MAYBE (found, promise.wait(scope)) {
            return found->reader->getRoot<capnp::rpc::Message>().isFinish();
        }
        return false;
    }
};

} // namespace

// Guards against a delayed message that is lost, or sent after the message that follows it.
Test(packed_stream, delayed_finish_is_sent_with_the_next_message)
{
    stream_pair pair;
    pair.writer.delayFinish(pair.timer);
    auto first = pair.read();
    pair.writeFinish(1).wait(pair.scope);
    cr_assert(!first.poll(pair.scope));
    cr_assert_eq(pair.bytesOut, 0);
    capnp::MallocMessageBuilder builder;
    builder.initRoot<capnp::rpc::Message>().initReturn();
    auto written = pair.writer.writeMessage(nullptr, builder.getSegmentsForOutput());
    cr_assert(pair.isFinish(kj::mv(first)));
    cr_assert(!pair.isFinish(pair.read()));
    written.wait(pair.scope);
}

// Guards against a peer that keeps results while nothing else is sent, or an unbounded number of them.
Test(packed_stream, delayed_finish_is_bounded_in_time_and_number)
{
    stream_pair pair;
    pair.writer.delayFinish(pair.timer);
    auto first = pair.read();
    pair.writeFinish(1).wait(pair.scope);
    cr_assert(!first.poll(pair.scope));
    pair.timer.advanceTo(kj::origin<kj::TimePoint>() + 1200 * kj::MILLISECONDS);
    cr_assert(pair.isFinish(kj::mv(first)));

    auto second = pair.read();
    for (unsigned question = 2; question < 6; ++question)
        pair.writeFinish(question).wait(pair.scope);
    cr_assert(!second.poll(pair.scope));
    auto written = pair.writeFinish(6);
    cr_assert(pair.isFinish(kj::mv(second)));
    for (unsigned question = 3; question <= 6; ++question)
        cr_assert(pair.isFinish(pair.read()));
    written.wait(pair.scope);
}

// Guards against memory reserved for an announced length, and against a message that unpacks to gigabytes.
Test(packed_stream, too_large_messages_are_refused)
{
    const kj::byte claimed[] = { 0, 0, 0, 1 };
    // One segment of 2^20 words, then runs of zeros; two packed bytes unpack to 2 KiB of zeros.
    const kj::byte unpacked[] = { 8, 0, 0, 0, 0x40, 0x10, 0, 0xff, 0, 0xff, 0, 0xff };
    for (const auto bytes : { kj::arrayPtr(claimed, 4), kj::arrayPtr(unpacked, 12) }) {
        stream_pair pair;
        auto written = pair.pipe.ends[0]->write(bytes.begin(), bytes.size());
        bool refused = false;
        try {
            pair.read().wait(pair.scope);
        } catch (const kj::Exception& error) {
            refused = std::strstr(error.getDescription().cStr(), "too large") != nullptr;
        }
        cr_assert(refused);
    }
}
