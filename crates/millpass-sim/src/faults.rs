//! Faults that a plan schedules.

use crate::network::Zone;

/// One fault, or the end of one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A control member dies; its disk stays.
    KillControl(Member),
    /// Every control member dies at once; the disks stay.
    KillAllControl,
    /// Every dead control member starts.
    StartAllControl,
    /// A control member dies and its disk is lost.
    LoseDisk(Member),
    /// A dead control member starts: from its disk, or under a new identity when that was lost.
    StartControl(Member),
    /// A control member stops running.
    FreezeControl(Member),
    /// The leader stops running at the moment at which it has decided to deliver an order.
    FreezeLeaderAtOrder,
    /// Every frozen control member runs again.
    WakeControl,
    /// A control member is stopped in an orderly way.
    DrainControl(Member),
    /// A router dies.
    KillRouter(usize),
    /// A dead router starts.
    StartRouter(usize),
    /// A router stops running.
    FreezeRouter(usize),
    /// A router stops running at the moment at which it has decided to send an attempt.
    FreezeRouterAtDispatch(usize),
    /// A frozen router runs again.
    WakeRouter(usize),
    /// A router is stopped in an orderly way.
    DrainRouter(usize),
    /// An engine's process dies and starts again.
    KillEngine(usize),
    /// The engine that loads next dies in the middle of that load.
    KillNextLoadingEngine,
    /// An engine's machine is taken without warning.
    ReclaimEngine(usize),
    /// A machine comes back empty.
    ReturnEngine(usize),
    /// An engine is leaving, announced on the platform's list.
    LeaveEngine(usize),
    /// A web back end's process dies and starts again.
    KillWeb(usize),
    /// A web back end is leaving, announced on the platform's list.
    LeaveWeb(usize),
    /// A web machine comes back.
    ReturnWeb(usize),
    /// One direction between two zones is cut.
    Cut(Zone, Zone),
    /// One direction between two zones is mended.
    Mend(Zone, Zone),
    /// Messages are late, lost, doubled and reordered, or no longer.
    BadNetwork(bool),
    /// The weight store is slow, or no longer.
    SlowStore(bool),
    /// Load reports are late and have gaps, or no longer.
    StaleReports(bool),
}

/// A control member, by its place or by its part in the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Member {
    /// At this place.
    At(usize),
    /// Whoever leads at that moment.
    Leader,
    /// Some member that lives and does not lead, chosen by this number.
    Follower(usize),
    /// The member that was killed or lost its disk first and has not started since.
    FirstDead,
}
