#pragma once

namespace chervilport::review {

class record;

/// Result of a case, which is also the exit status.
enum class case_result : int {
    Held = 0,
    Broken = 1,
    NotRun = 2,
};

/// Many tasks end on one executor while the leader is replaced. Judges TWICE.
case_result runManyEnds(record&, bool hasTrouble);

/// A node loses its disk right after it has acknowledged the first configuration. Judges CONFIG.
case_result runFirstConfig(record&, bool hasTrouble);

/// A guaranteed job whose tasks run on different executors needs room that another tenant has borrowed. Judges RECLAIM.
case_result runSpreadGuarantee(record&, bool hasTrouble);

/// An executor is back under its id after its time of day has stepped back. Judges LOST.
case_result runClockBack(record&, bool hasTrouble);

/// A service fails for a while on every executor. Judges LOST.
case_result runFailingService(record&, bool hasTrouble);

} // namespace chervilport::review
