#pragma once

#include "chervilport/core/log_time.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace chervilport {

/// How the leader sends to a member.
enum class send_mode : std::uint8_t {
    /// Where the logs match is unknown, or the member is silent: one request with entries until it answers.
    Probe,
    /// Requests with entries follow each other without waiting, up to the window.
    Pipeline,
    /// A snapshot is on its way.
    Snapshot,
};

/// What a leader knows of another member.
struct peer_progress {
    /// Incarnation that counts.
    std::uint64_t incarnation = 0;
    /// How it is sent to.
    send_mode mode = send_mode::Probe;
    /// Last index known to be in its log, synced where it has a disk.
    std::uint64_t match = 0;
    /// Next index to send.
    std::uint64_t next = 1;
    /// In `Probe`, whether a request with entries is unanswered.
    bool probePending = false;
    /// In `Pipeline`, the last index of each unanswered request with entries.
    std::deque<std::uint64_t> inflight;
    /// When it last answered, or when this member became leader.
    log_time lastContact {};
    /// When the heartbeat round that it last answered was started, if it answered one.
    std::optional<log_time> supportedSince;
    /// In `Snapshot`, the index of the snapshot sent.
    std::uint64_t snapshotIndex = 0;
    /// In `Snapshot`, when it was sent.
    log_time snapshotSentAt {};
    /// Newer incarnation under which the instance has answered, so that it has to be admitted again.
    std::optional<std::uint64_t> newerIncarnation;
};

} // namespace chervilport
