#include "tests/soak/fault_injector.h"

#include "tests/soak/executor_fleet.h"
#include "tests/soak/invariant_checker.h"
#include "tests/soak/soak_cluster.h"
#include "tests/soak/soak_log.h"

#include <algorithm>
#include <csignal>
#include <memory>
#include <string>
#include <utility>

namespace chervilport::soak {

namespace {

    using namespace std::chrono_literals;

    constexpr auto tickInterval = 20ms;
    /// Time without faults after which a member with a wiped disk has caught up, so that another disk may be lost.
    constexpr auto catchUpTime = 6s;
    constexpr auto slowLinkDelay = 150ms;

    node_id core(std::size_t number) { return { node_kind::Core, number }; }
    node_id entry(std::size_t number) { return { node_kind::Entry, number }; }

    std::string nameOf(node_id node)
    {
        return (node.kind == node_kind::Core ? "core-" : "entry-") + std::to_string(node.number);
    }

} // namespace

fault_injector::fault_injector(
    asio::io_context& context, soak_cluster& cluster, executor_fleet& fleet, invariant_checker& checker)
    : m_context(context)
    , m_cluster(cluster)
    , m_fleet(fleet)
    , m_checker(checker)
    , m_tick(context, tickInterval)
{
    for (std::size_t i = 0; i < cluster.size(); ++i) {
        m_processes[core(i)];
        m_processes[entry(i)];
    }
}

void fault_injector::start(const std::vector<planned_fault>& plan)
{
    m_coreStableSince = std::chrono::steady_clock::now();
    for (const auto& fault : plan)
        runAfter(fault.at, [this, fault] { apply(fault); });
    m_tick.start([this] { tick(); });
}

void fault_injector::runAfter(std::chrono::milliseconds pause, action callback)
{
    ++m_pending;
    auto timer = std::make_shared<asio::steady_timer>(m_context, pause);
    timer->async_wait([this, timer, callback = std::move(callback)](const std::error_code& error) {
        --m_pending;
        if (!error)
            callback();
    });
}

bool fault_injector::isOver() const
{
    return m_pending == 0 && std::all_of(m_processes.begin(), m_processes.end(), [&](const auto& each) {
        return m_cluster.isRunning(each.first) && !each.second.isStopping;
    });
}

void fault_injector::recordCoreDisruption(std::chrono::milliseconds length)
{
    m_coreStableSince = std::max(m_coreStableSince, std::chrono::steady_clock::now() + length);
}

// --- processes ------------------------------------------------------------------------------------------------------

void fault_injector::tick()
{
    const auto now = std::chrono::steady_clock::now();
    if (m_hasLostDisk && now > m_coreStableSince + catchUpTime)
        m_hasLostDisk = false;
    for (auto& [node, state] : m_processes) {
        if (const auto end = m_cluster.takeExitStatus(node)) {
            if (!state.isDiskFull && (!state.isStopping || *end != 0))
                m_checker.reportViolation(
                    "no process exits unexpectedly", nameOf(node) + " exited with " + std::to_string(*end));
            state.restartAt = now + state.downTime;
        }
        if (state.restartAt && now >= *state.restartAt) {
            state = {};
            m_cluster.start(node);
            if (node.kind == node_kind::Core)
                recordCoreDisruption(0ms);
        }
    }
}

void fault_injector::kill(node_id node, std::chrono::milliseconds down)
{
    if (!m_cluster.isRunning(node))
        return;
    m_cluster.kill(node);
    m_processes[node] = {};
    m_processes[node].restartAt = std::chrono::steady_clock::now() + down;
}

void fault_injector::pause(node_id node, std::chrono::milliseconds length)
{
    if (!m_cluster.isRunning(node))
        return;
    m_cluster.signal(node, SIGSTOP);
    ++m_processes[node].pauses;
    runAfter(length, [this, node] {
        // The process may have been restarted meanwhile; SIGCONT has no effect on a running process.
        auto& pauses = m_processes[node].pauses;
        pauses = std::max(0, pauses - 1);
        if (pauses == 0 && m_cluster.isRunning(node))
            m_cluster.signal(node, SIGCONT);
    });
}

void fault_injector::stop(node_id node, std::chrono::milliseconds down)
{
    auto& state = m_processes[node];
    if (!m_cluster.isRunning(node) || state.isStopping)
        return;
    state.isStopping = true;
    state.downTime = down;
    m_cluster.signal(node, SIGTERM);
}

void fault_injector::wipeDisk(node_id node, std::chrono::milliseconds down)
{
    if (m_hasLostDisk) {
        logLine("fault", "wipe_core skipped: the member with the last wiped disk has not caught up yet");
        return;
    }
    m_hasLostDisk = true;
    m_cluster.kill(node);
    m_cluster.wipeDisk(node);
    m_processes[node] = {};
    m_processes[node].restartAt = std::chrono::steady_clock::now() + down;
}

void fault_injector::killAllCores(std::chrono::milliseconds down)
{
    recordCoreDisruption(down);
    for (std::size_t i = 0; i < m_cluster.size(); ++i)
        kill(core(i), down);
}

void fault_injector::fillDisk(node_id node, std::chrono::milliseconds length)
{
    if (!m_cluster.isRunning(node))
        return;
    m_cluster.setDiskFull(node, true);
    m_processes[node].isDiskFull = true;
    runAfter(length, [this, node] {
        // A process that was restarted meanwhile has no limit.
        m_processes[node].isDiskFull = false;
        if (m_cluster.isRunning(node))
            m_cluster.setDiskFull(node, false);
    });
}

// --- links ----------------------------------------------------------------------------------------------------------

void fault_injector::cutFromCores(node_id node, std::chrono::milliseconds length, bool isBidirectional)
{
    for (std::size_t i = 0; i < m_cluster.size(); ++i) {
        const auto other = core(i);
        if (other == node)
            continue;
        m_cluster.links().cut(node, other);
        if (isBidirectional)
            m_cluster.links().cut(other, node);
        runAfter(length, [this, node, other, isBidirectional] {
            m_cluster.links().restore(node, other);
            if (isBidirectional)
                m_cluster.links().restore(other, node);
        });
    }
}

void fault_injector::cutExecutor(std::size_t number, std::chrono::milliseconds length)
{
    const node_id executor { node_kind::Executor, number };
    for (std::size_t i = 0; i < m_cluster.size(); ++i) {
        m_cluster.links().cut(core(i), executor);
        runAfter(length, [this, executor, i] { m_cluster.links().restore(core(i), executor); });
    }
}

void fault_injector::applyToLinks(const planned_fault& fault)
{
    // Slow links delay one direction between two core instances.
    const auto from = core(fault.target % m_cluster.size());
    const auto to
        = core((fault.target + 1 + fault.target / m_cluster.size() % (m_cluster.size() - 1)) % m_cluster.size());
    if (fault.kind == fault_kind::SlowLinks) {
        m_cluster.links().setDelay(from, to, slowLinkDelay);
        runAfter(fault.length, [this, from, to] { m_cluster.links().setDelay(from, to, 0ms); });
        return;
    }
    // Other faults affect all open connections from one core and one entry instance to the core instances, and from
    // that core instance to one executor.
    const bool isSilence = fault.kind == fault_kind::SilenceLinks;
    for (std::size_t i = 0; i < m_cluster.size(); ++i) {
        for (auto* const proxy : m_cluster.proxiesOf(core(i))) {
            for (const auto& source : { from, entry(fault.target % m_cluster.size()) }) {
                if (isSilence)
                    proxy->silence(source);
                else
                    proxy->reset(source);
            }
        }
    }
    auto& proxy = m_fleet.proxy(fault.target % m_fleet.size());
    if (isSilence)
        proxy.silence(from);
    else
        proxy.reset(from);
}

// --- plan -----------------------------------------------------------------------------------------------------------

void fault_injector::apply(const planned_fault& fault)
{
    ++m_count;
    logLine("fault",
        std::string(soak::nameOf(fault.kind)) + " target=" + std::to_string(fault.target)
            + " length_ms=" + std::to_string(fault.length.count()));
    if (fault.kind <= fault_kind::FillDisk) {
        recordCoreDisruption(fault.length);
        applyToCore(fault, core(fault.target % m_cluster.size()));
    } else if (fault.kind <= fault_kind::CutEntry)
        applyToEntry(fault, entry(fault.target % m_cluster.size()));
    else if (fault.kind <= fault_kind::SlowLinks) {
        recordCoreDisruption(fault.length);
        applyToLinks(fault);
    } else if (fault.kind == fault_kind::Reload) {
        const auto node = core(fault.target % m_cluster.size());
        m_cluster.rotateSeeds(node);
        if (m_cluster.isRunning(node))
            m_cluster.signal(node, SIGHUP);
    } else
        applyToExecutor(fault);
}

void fault_injector::applyToCore(const planned_fault& fault, node_id node)
{
    switch (fault.kind) {
    case fault_kind::KillCore:
        kill(node, fault.length);
        break;
    case fault_kind::PauseCore:
        pause(node, fault.length);
        break;
    case fault_kind::StopCore:
        stop(node, fault.length);
        break;
    case fault_kind::WipeCore:
        wipeDisk(node, fault.length);
        break;
    case fault_kind::KillAllCores:
        killAllCores(fault.length / 4);
        break;
    case fault_kind::CutCore:
        cutFromCores(node, fault.length, true);
        break;
    case fault_kind::CutCoreOneWay:
        cutFromCores(node, fault.length, false);
        break;
    default:
        fillDisk(node, fault.length);
        break;
    }
}

void fault_injector::applyToEntry(const planned_fault& fault, node_id node)
{
    if (fault.kind == fault_kind::KillEntry)
        kill(node, fault.length);
    else if (fault.kind == fault_kind::PauseEntry)
        pause(node, fault.length);
    else if (fault.kind == fault_kind::StopEntry)
        stop(node, fault.length);
    else
        cutFromCores(node, fault.length, true);
}

void fault_injector::activate(int& counter, std::chrono::milliseconds length)
{
    ++counter;
    runAfter(length, [&counter] { --counter; });
}

void fault_injector::applyToExecutor(const planned_fault& fault)
{
    const auto number = fault.target % m_fleet.size();
    auto& executor = m_fleet.at(number);
    switch (fault.kind) {
    case fault_kind::CrashExecutor:
    case fault_kind::RestartExecutor:
        ++executor.faults.down;
        executor.crash();
        runAfter(fault.length, [&executor, keepsId = fault.kind == fault_kind::RestartExecutor] {
            --executor.faults.down;
            executor.beginIncarnation(keepsId);
        });
        break;
    case fault_kind::CutExecutor:
        cutExecutor(number, fault.length * 3);
        break;
    case fault_kind::LoseResponses:
        activate(executor.faults.losesResponses, fault.length);
        break;
    case fault_kind::DelayRequests:
        activate(executor.faults.delaysRequests, fault.length);
        break;
    case fault_kind::FailRuns:
        activate(executor.faults.failsRuns, fault.length);
        break;
    default:
        m_fleet.drain(number);
        break;
    }
}

} // namespace chervilport::soak
