#pragma once

#include "client.h"
#include "run_board.h"
#include "worker.h"

#include <memory>
#include <string>
#include <vector>

namespace review {

/// The queue of all cases.
queue_address testQueue();

/// Returns a configuration with one route, one service and one tenant.
std::string makeConfig(std::uint64_t version, const std::string& route);

/// Returns a job of one step.
std::string makeJob(int tasks, int estimateMs);

/// Returns a job id of 16 hexadecimal digits.
std::string jobId(unsigned round, unsigned number);

/// Returns the settings of an executor of the site.
worker_settings workerSettings(const site&, std::size_t number);

/// Starts executors of the site.
std::vector<std::unique_ptr<worker>> startWorkers(
    const site&, std::size_t count, std::chrono::milliseconds work, record&, run_board&);

/// Sends the first configuration and waits until a job has completed, which shows that the site serves.
bool prepare(record&, const site&);

} // namespace review
