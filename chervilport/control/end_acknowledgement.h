#pragma once

#include <cstdint>

namespace chervilport {

/// Acknowledgement of the ends that an incarnation of a worker lists. The worker discards acknowledged ends, and each
/// incarnation numbers its ends from 1, so an acknowledgement must never take effect in another incarnation than the
/// one that listed the ends.
struct end_acknowledgement {
    /// Highest number of an end that was listed.
    std::uint64_t listed = 0;
    /// Number up to which all listed ends are committed.
    std::uint64_t committed = 0;
    /// Number up to which the worker has confirmed the acknowledgement.
    std::uint64_t confirmed = 0;
    /// Whether a poll with an acknowledgement is in flight.
    bool isInFlight = false;
    /// Whether a poll with an acknowledgement of the current epoch got no response and can still be executed. The
    /// response to a repetition of it does not change that.
    bool isUnanswered = false;
};

/// Returns whether a poll with an acknowledgement of the current epoch can still be executed.
bool isUnsettled(const end_acknowledgement&);

/// Records that a new epoch has begun: the worker refuses polls of the earlier ones once it has seen it.
void beginEpoch(end_acknowledgement&);

/// Returns whether there are listed ends whose acknowledgement the worker has not confirmed.
bool mustAcknowledge(const end_acknowledgement&);

/// Records that the ends listed so far are committed.
void commitListedEnds(end_acknowledgement&);

/// Begins anew with the numbers of another incarnation.
void restartNumbering(end_acknowledgement&);

/// Forgets the ends listed since the last commit, so that the worker lists them again.
void forgetUncommittedEnds(end_acknowledgement&);

/// Records that a poll with this acknowledgement is sent; 0 for none.
void recordAcknowledgementSent(end_acknowledgement&, std::uint64_t acknowledged);

/// Records that a poll with this acknowledgement has completed. `isExecuted`: the worker has executed it.
/// `canBeExecuted`: it may do so later.
void recordAcknowledgementResult(end_acknowledgement&, std::uint64_t acknowledged, bool isExecuted, bool canBeExecuted);

} // namespace chervilport
