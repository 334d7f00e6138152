#pragma once

#include "chervilport/batch/task_ref.h"
#include "chervilport/batch/worker_record.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chervilport::batch {

/// Progress of a run on a worker, observed over some time.
struct pace_sample {
    task_ref task;
    /// Queue of the job.
    std::string queue;
    worker_number worker = noWorker;
    /// Share of the task's work that was done in a millisecond.
    double workPerMs = 0;
    /// Whether the run had finished its work before the end of the observation, so that the pace is a lower bound.
    bool isLowerBound = false;
};

/// Pace of the tasks of one step on one worker, as the natural logarithm of the work done in a millisecond.
struct step_pace {
    worker_number worker = noWorker;
    double logPace = 0;
};

/// Identifies a step of an occurrence.
struct step_key {
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;

    friend auto operator<=>(const step_key&, const step_key&)
        = default; // NOLINT(modernize-use-nullptr): a false finding of the linter
};

/// Estimate of a worker's speed.
struct worker_speed {
    /// Natural logarithm of the factor on run times, up to a summand that all workers share; 0 without samples.
    double logSlowness = 0;
    /// Number of samples.
    std::uint32_t samples = 0;
    /// Factor on run times that `takeChangedSlowness` has returned last; 1 before.
    double reportedSlowness = 1;
};

/// Pace of the tasks of a queue on a typical worker.
struct queue_pace {
    /// Moving average of the natural logarithm of the work done in a millisecond.
    double logPace = 0;
    std::uint32_t samples = 0;
};

/// Speeds of workers, learnt from the progress of runs. The amount of work of a task is unknown and differs between
/// jobs, so a sample compares a worker with the others that run tasks of the same step, and, with little weight, with
/// what is usual in the queue.
struct worker_speeds {
    std::map<worker_number, worker_speed> workers;
    std::map<std::string, queue_pace> queues;
    /// Newest paces by step, one for each worker.
    std::map<step_key, std::vector<step_pace>> steps;
    /// Logarithm of the factor of a typical worker. Samples compare workers only with each other, so all estimates
    /// share it as an unknown summand. It is the median, and is refreshed after a share of the workers has had a
    /// sample.
    double typicalLogSlowness = 0;
    /// Number of samples since the last refresh.
    std::size_t samplesSinceRefresh = 0;
};

/// Ratio of the run times of neighbouring speed classes.
inline constexpr double speedClassRatio = 1.5;

/// Adds a sample.
void recordPace(worker_speeds&, const pace_sample&);

/// Returns the factor on run times on a worker, relative to a typical one: 2 takes twice as long. 1 when unknown.
double slownessOf(const worker_speeds&, worker_number);

/// Returns the factor on run times on a worker if it has changed considerably since this function has last returned it,
/// for logs.
std::optional<double> takeChangedSlowness(worker_speeds&, worker_number);

/// Returns the speeds of all known workers in classes that differ by a half; 0 is typical, higher is slower.
std::map<worker_number, std::int32_t> speedClasses(const worker_speeds&);

/// Numbers of workers of known speed.
struct speed_counts {
    std::size_t fast = 0;
    std::size_t typical = 0;
    std::size_t slow = 0;
};

/// Counts the workers in the classes below, of and above the typical speed.
speed_counts countBySpeed(const worker_speeds&);

/// Removes the estimate of a worker, when another incarnation of it can have another speed.
void removeSpeed(worker_speeds&, worker_number);

/// Removes the paces of a job's steps. The estimates of the workers remain.
void removePaces(worker_speeds&, const std::string& job);

} // namespace chervilport::batch
