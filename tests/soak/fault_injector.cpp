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
    /// Calm time after which a member with a new disk has caught up and can bear the next loss.
    constexpr auto catchUpTime = 6s;
    constexpr auto slowLinkDelay = 150ms;

    node_id core(std::size_t number) { return { node_id::kind::Core, number }; }
    node_id entry(std::size_t number) { return { node_id::kind::Entry, number }; }

    std::string nameOf(node_id node)
    {
        return (node.what == node_id::kind::Core ? "core-" : "entry-") + std::to_string(node.number);
    }

} // namespace

fault_injector::fault_injector(asio::io_context& context, soak_site& site, executor_fleet& fleet, job_ledger& ledger)
    : m_context(context)
    , m_site(site)
    , m_fleet(fleet)
    , m_ledger(ledger)
    , m_tick(context, tickInterval)
{
    for (std::size_t i = 0; i < site.size(); ++i) {
        m_processes[core(i)];
        m_processes[entry(i)];
    }
}

void fault_injector::start(const std::vector<planned_fault>& plan)
{
    m_coreCalmSince = std::chrono::steady_clock::now();
    for (const auto& fault : plan)
        later(fault.at, [this, fault] { apply(fault); });
    m_tick.start([this] { tick(); });
}

void fault_injector::later(std::chrono::milliseconds pause, action act)
{
    ++m_pending;
    auto timer = std::make_shared<asio::steady_timer>(m_context, pause);
    timer->async_wait([this, timer, act = std::move(act)](const std::error_code& error) {
        --m_pending;
        if (!error)
            act();
    });
}

bool fault_injector::isOver() const
{
    return m_pending == 0 && std::all_of(m_processes.begin(), m_processes.end(), [&](const auto& each) {
        return m_site.isRunning(each.first) && !each.second.stopping;
    });
}

void fault_injector::noteCoreFault(std::chrono::milliseconds length)
{
    m_coreCalmSince = std::max(m_coreCalmSince, std::chrono::steady_clock::now() + length);
}

// --- processes ------------------------------------------------------------------------------------------------------

void fault_injector::tick()
{
    const auto now = std::chrono::steady_clock::now();
    if (m_diskLost && now > m_coreCalmSince + catchUpTime)
        m_diskLost = false;
    for (auto& [node, state] : m_processes) {
        if (const auto end = m_site.takeOwnEnd(node)) {
            if (!state.diskFull && (!state.stopping || *end != 0))
                m_ledger.report("no process ends by itself", nameOf(node) + " ended with " + std::to_string(*end));
            state.restartAt = now + state.downTime;
        }
        if (state.restartAt && now >= *state.restartAt) {
            state = {};
            m_site.start(node);
            if (node.what == node_id::kind::Core)
                noteCoreFault(0ms);
        }
    }
}

void fault_injector::kill(node_id node, std::chrono::milliseconds down)
{
    if (!m_site.isRunning(node))
        return;
    m_site.kill(node);
    m_processes[node] = {};
    m_processes[node].restartAt = std::chrono::steady_clock::now() + down;
}

void fault_injector::pause(node_id node, std::chrono::milliseconds length)
{
    if (!m_site.isRunning(node))
        return;
    m_site.signal(node, SIGSTOP);
    ++m_processes[node].pauses;
    later(length, [this, node] {
        // The process may have been replaced meanwhile; a signal to continue harms nothing then.
        auto& pauses = m_processes[node].pauses;
        pauses = std::max(0, pauses - 1);
        if (pauses == 0 && m_site.isRunning(node))
            m_site.signal(node, SIGCONT);
    });
}

void fault_injector::stop(node_id node, std::chrono::milliseconds down)
{
    auto& state = m_processes[node];
    if (!m_site.isRunning(node) || state.stopping)
        return;
    state.stopping = true;
    state.downTime = down;
    m_site.signal(node, SIGTERM);
}

void fault_injector::wipe(node_id node, std::chrono::milliseconds down)
{
    if (m_diskLost) {
        logLine("fault", "no disk is lost: another one was lost before and is not made good yet");
        return;
    }
    m_diskLost = true;
    m_site.kill(node);
    m_site.wipe(node);
    m_processes[node] = {};
    m_processes[node].restartAt = std::chrono::steady_clock::now() + down;
}

void fault_injector::killAllCores(std::chrono::milliseconds down)
{
    noteCoreFault(down);
    for (std::size_t i = 0; i < m_site.size(); ++i)
        kill(core(i), down);
}

void fault_injector::fillDisk(node_id node, std::chrono::milliseconds length)
{
    if (!m_site.isRunning(node))
        return;
    m_site.limitDisk(node, true);
    m_processes[node].diskFull = true;
    later(length, [this, node] {
        // A process that was started meanwhile has no limit.
        m_processes[node].diskFull = false;
        if (m_site.isRunning(node))
            m_site.limitDisk(node, false);
    });
}

// --- links ----------------------------------------------------------------------------------------------------------

void fault_injector::cutFromCores(node_id node, std::chrono::milliseconds length, bool bothWays)
{
    for (std::size_t i = 0; i < m_site.size(); ++i) {
        const auto other = core(i);
        if (other == node)
            continue;
        m_site.links().cut(node, other);
        if (bothWays)
            m_site.links().cut(other, node);
        later(length, [this, node, other, bothWays] {
            m_site.links().restore(node, other);
            if (bothWays)
                m_site.links().restore(other, node);
        });
    }
}

void fault_injector::cutExecutor(std::size_t number, std::chrono::milliseconds length)
{
    const node_id executor { node_id::kind::Executor, number };
    for (std::size_t i = 0; i < m_site.size(); ++i) {
        m_site.links().cut(core(i), executor);
        later(length, [this, executor, i] { m_site.links().restore(core(i), executor); });
    }
}

void fault_injector::applyToLinks(const planned_fault& fault)
{
    const auto from = core(fault.target % m_site.size());
    const auto to = core((fault.target + 1 + fault.target / m_site.size() % (m_site.size() - 1)) % m_site.size());
    if (fault.kind == fault_kind::SlowLinks) {
        m_site.links().setDelay(from, to, slowLinkDelay);
        later(fault.length, [this, from, to] { m_site.links().setDelay(from, to, 0ms); });
        return;
    }
    const bool silence = fault.kind == fault_kind::SilenceLinks;
    for (std::size_t i = 0; i < m_site.size(); ++i) {
        for (auto* const proxy : m_site.proxiesOf(core(i))) {
            for (const auto& source : { from, entry(fault.target % m_site.size()) }) {
                if (silence)
                    proxy->silence(source);
                else
                    proxy->reset(source);
            }
        }
    }
    auto& proxy = m_fleet.proxy(fault.target % m_fleet.size());
    if (silence)
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
        noteCoreFault(fault.length);
        applyToCore(fault, core(fault.target % m_site.size()));
    } else if (fault.kind <= fault_kind::CutEntry)
        applyToEntry(fault, entry(fault.target % m_site.size()));
    else if (fault.kind <= fault_kind::SlowLinks) {
        noteCoreFault(fault.length);
        applyToLinks(fault);
    } else if (fault.kind == fault_kind::Reload) {
        const auto node = core(fault.target % m_site.size());
        m_site.rotateSeeds(node);
        if (m_site.isRunning(node))
            m_site.signal(node, SIGHUP);
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
        wipe(node, fault.length);
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

void fault_injector::count(int& fault, std::chrono::milliseconds length)
{
    ++fault;
    later(length, [&fault] { --fault; });
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
        later(fault.length, [&executor, sameId = fault.kind == fault_kind::RestartExecutor] {
            --executor.faults.down;
            executor.beginIncarnation(sameId);
        });
        break;
    case fault_kind::CutExecutor:
        cutExecutor(number, fault.length * 3);
        break;
    case fault_kind::LoseAnswers:
        count(executor.faults.losesAnswers, fault.length);
        break;
    case fault_kind::DelayOrders:
        count(executor.faults.delaysOrders, fault.length);
        break;
    case fault_kind::FailRuns:
        count(executor.faults.failsRuns, fault.length);
        break;
    default:
        m_fleet.drain(number);
        break;
    }
}

} // namespace chervilport::soak
