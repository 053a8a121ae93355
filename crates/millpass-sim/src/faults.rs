//! Faults of a plan.

use crate::network::Zone;

/// A fault, or the end of one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Kills a control member; its disk is kept.
    KillControl(Member),
    /// Kills all control members at once; their disks are kept.
    KillAllControl,
    /// Starts all dead control members.
    StartAllControl,
    /// Kills a control member; its disk is lost.
    LoseDisk(Member),
    /// Starts a dead control member from its disk, or with a new identity if the disk was lost.
    StartControl(Member),
    /// Suspends a control member.
    FreezeControl(Member),
    /// Suspends the leader when it is about to deliver an order.
    FreezeLeaderAtOrder,
    /// Resumes all frozen control members.
    WakeControl,
    /// Begins a planned stop of a control member.
    DrainControl(Member),
    /// Kills a router.
    KillRouter(usize),
    /// Starts a dead router.
    StartRouter(usize),
    /// Suspends a router.
    FreezeRouter(usize),
    /// Suspends a router when it is about to send an attempt.
    FreezeRouterAtDispatch(usize),
    /// Resumes a frozen router.
    WakeRouter(usize),
    /// Begins a planned stop of a router.
    DrainRouter(usize),
    /// Kills an engine's process, which restarts.
    KillEngine(usize),
    /// Kills the engine that loads next, soon after the load began.
    KillNextLoadingEngine,
    /// Reclaims an engine's machine without notice.
    ReclaimEngine(usize),
    /// Starts a dead engine; a reclaimed machine is empty.
    ReturnEngine(usize),
    /// Lists an engine as leaving.
    LeaveEngine(usize),
    /// Kills a web back end's process, which restarts.
    KillWeb(usize),
    /// Lists a web back end as leaving.
    LeaveWeb(usize),
    /// Starts a dead web back end.
    ReturnWeb(usize),
    /// Blocks messages in one direction between two zones.
    Cut(Zone, Zone),
    /// Unblocks messages in one direction between two zones.
    Mend(Zone, Zone),
    /// Sets whether messages are delayed, lost, duplicated and reordered.
    BadNetwork(bool),
    /// Sets whether the weight store is slow.
    SlowStore(bool),
    /// Sets whether load reports are delayed and lost.
    StaleReports(bool),
}

/// Selection of a control member, by index or role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Member {
    /// The member with this index.
    At(usize),
    /// The current leader.
    Leader,
    /// A running member other than the leader, selected by this number.
    Follower(usize),
    /// The member that has been dead for the longest time.
    FirstDead,
}
