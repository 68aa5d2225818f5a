//! Memory budget of a box.
//!
//! The callers of one workspace may all be connected to one small box, and send several times what
//! it can hold: request bodies of up to 1 MB, thousands of open streams, and readers that take 100
//! bytes a second. A box that exceeds the memory of its machine is killed, and with it the requests
//! of all workspaces. Processor time may be to spare then, so that [`LoadShedder`] refuses nothing.
//!
//! Bytes are counted as they are allocated and released. The resident memory of the process,
//! sampled by the daemon, corrects the count when it grows beyond it. The correction is attributed
//! to the bytes that were counted at that time, and shrinks with them: the allocator keeps most of
//! the released memory and uses it again, so the process stays large after a flood although the box
//! has room. A correction that later samples contradict decays.
//!
//! An answer that is read whole takes memory after its request was admitted, when it can no longer
//! be refused without loss. Its expected size is therefore reserved at admission and counts like the
//! request. What an answer takes beyond it is bounded, so that others can be admitted beside it.
//!
//! [`LoadShedder`]: super::LoadShedder
//!
//! ```
//! use dockgate_core::gateway::MemoryBudget;
//!
//! let mut budget = MemoryBudget::new(Some(100 << 20));
//! budget.record_sample(Some(20 << 20), 0);
//! assert!(budget.try_charge(1, 49 << 20), "the flood may use what no one else needs");
//! assert!(!budget.try_charge(1, 1 << 20));
//! assert!(budget.try_charge(2, 1 << 20));
//! ```

use super::answer_pool::AnswerPool;
use super::answer_sizes::{AnswerKey, AnswerSizes};
use super::load_shedder::max_min_level;
use std::collections::HashMap;

/// The memory that a box may use, and what its connections and requests use of it.
#[derive(Debug, Clone, Default)]
pub struct MemoryBudget {
    /// The memory of the machine in bytes; `None` if there is no budget.
    machine: Option<u64>,
    /// The resident memory of the idle process.
    idle: u64,
    /// What the process has allocated since then for other causes than its load.
    grown: u64,
    /// The counted bytes of all connections, requests, bodies and answers.
    counted: u64,
    /// The part of them that is attributed to a workspace.
    held: HashMap<u64, u64>,
    /// The part that answers which are read whole take beyond their reservations.
    answers: AnswerPool,
    /// The answers of workspaces which are read whole.
    answer_uses: HashMap<u64, AnswerUse>,
    /// The expected sizes of these answers.
    answer_sizes: AnswerSizes,
    /// Whether more than a few connections have been open.
    has_served: bool,
    /// The largest sample; it falls while the correction decays.
    peak: u64,
    /// The correction of the count by the largest sample under load.
    excess: u64,
    /// The counted bytes at the time of that sample.
    counted_at_peak: u64,
    /// Time until which new connections are diverted to other boxes.
    divert_until_ms: u64,
    /// Whether a request was refused since the last sample. A burst between two samples diverts new
    /// connections, too.
    has_refused: bool,
    /// Whether new connections were diverted at the last sample.
    is_short: bool,
}

/// The memory of one answer that is read whole: what is reserved for it, and what it holds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AnswerCharge {
    key: AnswerKey,
    /// Whether it counts among the reservations of its workspace.
    has_reservation: bool,
    reserved: u64,
    held: u64,
}

impl AnswerCharge {
    /// Creates the charge of an answer for which nothing is reserved.
    pub fn unreserved(key: AnswerKey) -> Self {
        Self {
            key,
            ..Self::default()
        }
    }

    /// Returns the bytes that it holds beyond its reservation.
    const fn beyond(&self) -> u64 {
        self.held.saturating_sub(self.reserved)
    }
}

/// Whether further bytes of an answer were counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerGrowth {
    /// They fit.
    Counted,
    /// The box has no memory for them.
    OutOfMemory,
    /// The answer would hold more than is free of what answers may take beyond their reservations.
    TooLarge,
}

/// The answers of one workspace which are read whole.
#[derive(Debug, Clone, Copy, Default)]
struct AnswerUse {
    /// The number of reservations.
    reservations: usize,
    /// The bytes that they hold beyond their reservations.
    beyond: u64,
}

/// Change of the state of a box by a sample of its memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryChange {
    /// The state is unchanged.
    None,
    /// The box has become short of memory.
    Short,
    /// The box has memory again.
    Back,
}

impl MemoryBudget {
    /// The bytes of an open connection without a request: buffers of the HTTP library and its task.
    /// Measured: 13.9 kB.
    pub const CONNECTION_BYTES: u64 = 16 << 10;
    /// The bytes of a request in progress without its body: the head, the connection to the
    /// endpoint with its buffers, and the state of the request. Measured: 22.8 kB for a stream.
    pub const REQUEST_BYTES: u64 = 28 << 10;
    /// The use, as a fraction of the machine's memory, above which a workspace is limited to its
    /// portion. Leaves room for others while the excess of the workspace is refused.
    const LIMITED_FRACTION: f64 = 0.7;
    /// The use, as a fraction of the machine's memory, above which nothing is admitted. The rest is
    /// left to the operating system, its socket buffers, and what is allocated between two samples.
    const FULL_FRACTION: f64 = 0.8;
    /// The bytes that a workspace may hold as long as they fit at all: a few small requests.
    const SMALL_BYTES: u64 = 128 << 10;
    /// The part of the memory between the two limits that is reserved at most for the only answer of
    /// a workspace, so that one with large answers is admitted beside others.
    const FIRST_ANSWER_FRACTION: f64 = 0.25;
    /// The counted bytes below which a sample shows the idle process: a few connections.
    const IDLE_BYTES: u64 = 8 * Self::CONNECTION_BYTES;
    /// The counted bytes, as a fraction of the machine's memory, from which on a correction shows
    /// what requests take rather than how the process has grown otherwise.
    const TYPICAL_FRACTION: f64 = 0.06;
    /// The number of samples, 10 s, in which a correction that they contradict decays to 1/e. Longer
    /// than most bodies take to arrive, as a sample lacks what is counted but not received.
    const DECAY_SAMPLES: f64 = 100.0;
    /// The use from which on each sample reads the resident memory.
    const FREQUENT_SAMPLES_FRACTION: f64 = 0.4;
    /// Duration of a diversion in milliseconds. The load balancer polls readiness once per second
    /// and acts on the second answer.
    const DIVERT_MS: u64 = 3_000;

    /// Creates the budget of a machine with this memory in bytes; `None` limits nothing.
    pub fn new(machine: Option<u64>) -> Self {
        Self {
            machine,
            answers: AnswerPool::new(machine),
            ..Self::default()
        }
    }

    /// Sets the memory of the machine in bytes.
    pub fn set_machine(&mut self, machine: Option<u64>) {
        self.machine = machine;
        self.answers.set_machine(machine);
    }

    /// Returns whether the resident memory has to be sampled.
    pub const fn is_limited(&self) -> bool {
        self.machine.is_some()
    }

    /// Counts bytes of a workspace, or of no known one.
    pub fn charge(&mut self, workspace: Option<u64>, bytes: u64) {
        self.counted += bytes;
        if let Some(workspace) = workspace {
            *self.held.entry(workspace).or_default() += bytes;
        }
    }

    /// Counts bytes of a workspace if they fit; returns whether they do.
    pub fn try_charge(&mut self, workspace: u64, bytes: u64) -> bool {
        let fits = self.fits(workspace, bytes);
        match fits {
            true => self.charge(Some(workspace), bytes),
            false => self.has_refused = true,
        }
        fits
    }

    /// Reserves the expected size of an answer that is read whole, if it fits.
    pub fn try_reserve_answer(&mut self, key: AnswerKey) -> Option<AnswerCharge> {
        let reserved = self.reservation(key);
        if !self.try_charge(key.workspace, reserved) {
            return None;
        }
        let answers = self.answer_uses.entry(key.workspace).or_default();
        answers.reservations += 1;
        Some(AnswerCharge {
            has_reservation: true,
            reserved,
            ..AnswerCharge::unreserved(key)
        })
    }

    /// Returns the bytes to reserve for one more answer.
    fn reservation(&self, key: AnswerKey) -> u64 {
        let expected = self.answer_sizes.expected(key);
        let answers = self.answer_uses.get(&key.workspace);
        let is_only = answers.is_none_or(|answers| answers.reservations == 0);
        match self.limits() {
            None => 0,
            Some(limits) if is_only => {
                let room = (limits.full - limits.limited) as f64;
                expected.min((room * Self::FIRST_ANSWER_FRACTION) as u64)
            }
            Some(_) => expected,
        }
    }

    /// Counts further bytes of an answer that is read whole, if they fit. What was reserved fits
    /// always.
    pub fn try_grow_answer(&mut self, charge: &mut AnswerCharge, bytes: u64) -> AnswerGrowth {
        let workspace = charge.key.workspace;
        let grown = AnswerCharge {
            held: charge.held + bytes,
            ..*charge
        };
        let (held, more) = (charge.beyond(), grown.beyond() - charge.beyond());
        match () {
            () if more == 0 => {}
            () if !self.fits_beyond(workspace, more) => return AnswerGrowth::OutOfMemory,
            () if !self.answers.try_grow(held, more) => return AnswerGrowth::TooLarge,
            () => {}
        }
        self.charge_beyond(workspace, more);
        *charge = grown;
        AnswerGrowth::Counted
    }

    /// Reserves for an answer what was counted for the body of its request, which is given up.
    pub fn transfer_to_answer(&mut self, charge: &mut AnswerCharge, bytes: u64) {
        let before = charge.beyond();
        charge.reserved += bytes;
        self.release_beyond(charge.key.workspace, before - charge.beyond());
    }

    fn charge_beyond(&mut self, workspace: u64, bytes: u64) {
        if bytes > 0 {
            self.charge(Some(workspace), bytes);
            self.answer_uses.entry(workspace).or_default().beyond += bytes;
        }
    }

    /// Releases what was reserved for an answer beyond its size, which is complete; if it
    /// `is_typical`, its size is expected of those that follow.
    pub fn complete_answer(&mut self, charge: &mut AnswerCharge, is_typical: bool) {
        if is_typical && self.is_limited() {
            self.answer_sizes.record(charge.key, charge.held);
        }
        let surplus = charge.reserved.saturating_sub(charge.held);
        self.release(Some(charge.key.workspace), surplus);
        charge.reserved -= surplus;
    }

    /// Releases what an answer holds that is given up, but not its reservation: the request may be
    /// sent again.
    pub fn reset_answer(&mut self, charge: &mut AnswerCharge) {
        self.release_beyond(charge.key.workspace, charge.beyond());
        charge.held = 0;
    }

    fn release_beyond(&mut self, workspace: u64, bytes: u64) {
        self.answers.release(bytes);
        self.release(Some(workspace), bytes);
        if let Some(answers) = self.answer_uses.get_mut(&workspace) {
            answers.beyond -= bytes;
        }
    }

    /// Releases an answer that was read whole, and its reservation.
    pub fn release_answer(&mut self, mut charge: AnswerCharge) {
        self.reset_answer(&mut charge);
        let workspace = charge.key.workspace;
        self.release(Some(workspace), charge.reserved);
        if let Some(answers) = self.answer_uses.get_mut(&workspace) {
            answers.reservations -= usize::from(charge.has_reservation);
            if answers.reservations == 0 && answers.beyond == 0 {
                self.answer_uses.remove(&workspace);
            }
        }
    }

    fn fits(&self, workspace: u64, bytes: u64) -> bool {
        let Some(limits) = self.limits() else {
            return true;
        };
        let use_after = self.use_bytes() + bytes;
        let held = self.held.get(&workspace).copied().unwrap_or(0) + bytes;
        match () {
            () if use_after < limits.limited => true,
            () if use_after > limits.full => false,
            () if held <= Self::SMALL_BYTES => true,
            // Leaves as much room for others as the workspace holds.
            () if held > limits.full - use_after => false,
            () => held as f64 <= self.portion(limits),
        }
    }

    /// Returns whether bytes fit that an answer holds beyond its reservation. A request that has run
    /// is not refused for the use of its workspace, but its answers leave as much room for others as
    /// they hold.
    fn fits_beyond(&self, workspace: u64, bytes: u64) -> bool {
        let Some(limits) = self.limits() else {
            return true;
        };
        let use_after = self.use_bytes() + bytes;
        let answers = self.answer_uses.get(&workspace);
        let beyond = answers.map_or(0, |answers| answers.beyond) + bytes;
        use_after < limits.limited || beyond <= limits.full.saturating_sub(use_after)
    }

    /// Returns the bytes that a workspace may hold while the use is above the lower limit: its
    /// max-min fair portion, among the workspaces that hold any and one that may come.
    ///
    /// Connections and the correction of the count belong to no workspace. At least what lies
    /// between the two limits is divided.
    fn portion(&self, limits: MemoryLimits) -> f64 {
        let held: u64 = self.held.values().sum();
        let unattributed = self.use_bytes().saturating_sub(held);
        let capacity = limits.limited.saturating_sub(unattributed);
        let capacity = capacity.max(limits.full - limits.limited);
        let demands = self.held.values().map(|bytes| *bytes as f64);
        let demands: Vec<f64> = demands.chain([f64::INFINITY]).collect();
        max_min_level(&demands, capacity as f64)
    }

    /// Releases bytes that were counted.
    pub fn release(&mut self, workspace: Option<u64>, bytes: u64) {
        self.counted = self.counted.saturating_sub(bytes);
        let Some(workspace) = workspace else {
            return;
        };
        if let Some(held) = self.held.get_mut(&workspace) {
            *held = held.saturating_sub(bytes);
            if *held == 0 {
                self.held.remove(&workspace);
            }
        }
    }

    /// Returns whether each sample has to read the resident memory. Below this use, what is
    /// allocated until a later sample fits below the limits, and reading it costs a small box a
    /// tenth of its processor time.
    pub fn needs_frequent_samples(&self) -> bool {
        let threshold = |machine: u64| (machine as f64 * Self::FREQUENT_SAMPLES_FRACTION) as u64;
        self.machine
            .is_some_and(|machine| self.use_bytes() >= threshold(machine))
    }

    /// Records a sample of the resident memory of the process in bytes; `None` if it was not read.
    ///
    /// A sample below the largest one does not raise the correction, since it includes released
    /// memory that the allocator keeps.
    pub fn record_sample(&mut self, resident: Option<u64>, now_ms: u64) -> MemoryChange {
        if let Some(resident) = resident {
            self.correct_count(resident);
        }
        let has_refused = std::mem::take(&mut self.has_refused);
        let is_limited = |limits: MemoryLimits| self.use_bytes() >= limits.limited;
        if has_refused || self.limits().is_some_and(is_limited) {
            self.divert_until_ms = now_ms + Self::DIVERT_MS;
        }
        let is_short = self.diverts_connections(now_ms);
        match (std::mem::replace(&mut self.is_short, is_short), is_short) {
            (false, true) => MemoryChange::Short,
            (true, false) => MemoryChange::Back,
            _ => MemoryChange::None,
        }
    }

    /// Corrects the count by a sample of the resident memory.
    fn correct_count(&mut self, resident: u64) {
        let growth = resident.saturating_sub(self.peak);
        self.peak = self.peak.max(resident);
        self.has_served |= self.counted > Self::IDLE_BYTES;
        match growth > 0 {
            true if !self.has_served => self.idle = resident,
            true if self.counted >= self.counted_at_peak / 2 => {
                self.excess = resident.saturating_sub(self.idle + self.grown + self.counted);
                self.counted_at_peak = self.counted;
            }
            // A lower load has grown beyond the memory that the allocator keeps.
            true => {
                let rest = resident.saturating_sub(self.idle + self.counted);
                self.grown = self.grown.max(rest.min(self.grown + growth));
            }
            false => self.decay_correction(resident),
        }
    }

    /// Reduces the correction while the estimated use exceeds the resident memory: the process has
    /// returned what was attributed to its load.
    fn decay_correction(&mut self, resident: u64) {
        let correction = self.correction();
        let surplus = self.use_bytes().saturating_sub(resident).min(correction);
        if surplus == 0 {
            return;
        }
        let portion = surplus as f64 / correction as f64 / Self::DECAY_SAMPLES;
        self.excess -= (self.excess as f64 * portion).ceil() as u64;
        self.grown -= (self.grown as f64 * portion).ceil() as u64;
        // Otherwise the next load would not be corrected until it has grown beyond this peak.
        self.peak -= ((self.peak - resident) as f64 / Self::DECAY_SAMPLES) as u64;
    }

    /// Returns the estimated use of memory in bytes.
    pub fn use_bytes(&self) -> u64 {
        self.idle + self.counted + self.correction()
    }

    /// Returns what the process is estimated to use beyond the idle process and the counted bytes.
    fn correction(&self) -> u64 {
        let counted = self.counted as f64;
        let typical = self.machine.unwrap_or(0) as f64 * Self::TYPICAL_FRACTION;
        let at_peak = self.counted_at_peak.max(1) as f64;
        let part = (counted / at_peak)
            .min(1.0)
            .max(counted / at_peak.max(typical).max(1.0));
        self.grown + (self.excess as f64 * part) as u64
    }

    /// Returns whether new connections should go to other boxes.
    pub const fn diverts_connections(&self, now_ms: u64) -> bool {
        now_ms < self.divert_until_ms
    }

    /// Returns whether the box has memory for one more connection.
    ///
    /// Below the full use a connection is accepted even if its request will be refused: a caller
    /// that waits to be accepted learns nothing until its deadline passes.
    pub fn accepts_connections(&self) -> bool {
        let needed = self.use_bytes() + Self::CONNECTION_BYTES;
        self.limits().is_none_or(|limits| needed <= limits.full)
    }

    /// Returns how many connections would have to be closed to get below the lower limit.
    pub fn surplus_connections(&self) -> usize {
        let surplus = self
            .limits()
            .map_or(0, |limits| self.use_bytes().saturating_sub(limits.limited));
        surplus.div_ceil(Self::CONNECTION_BYTES) as usize
    }

    fn limits(&self) -> Option<MemoryLimits> {
        let machine = self.machine? as f64;
        Some(MemoryLimits {
            limited: (machine * Self::LIMITED_FRACTION) as u64,
            full: (machine * Self::FULL_FRACTION) as u64,
        })
    }
}

/// The limits of the use of memory, in bytes.
#[derive(Debug, Clone, Copy)]
struct MemoryLimits {
    /// The use from which on workspaces beyond their portion are refused.
    limited: u64,
    /// The use above which all requests are refused and no connection is accepted.
    full: u64,
}

#[cfg(test)]
mod tests;
