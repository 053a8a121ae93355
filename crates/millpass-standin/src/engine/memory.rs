//! Accelerator memory accounting.

/// Memory of each accelerator reserved for one model or adapter.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reservation {
    per_accelerator: Vec<(usize, u64)>,
}

impl Reservation {
    /// Spreads `bytes` evenly over `accelerators`; the first ones take the remainder.
    pub fn spread(accelerators: &[u32], bytes: u64) -> Self {
        let count = accelerators.len().max(1) as u64;
        let per_accelerator = accelerators
            .iter()
            .zip(0_u64..)
            .map(|(index, place)| {
                let extra = u64::from(place < bytes % count);
                (*index as usize, bytes / count + extra)
            })
            .collect();
        Reservation { per_accelerator }
    }
}

/// Used memory of each accelerator. Invariant: `used <= capacity` for every accelerator.
#[derive(Clone, Debug)]
pub struct AcceleratorMemory {
    capacity: Vec<u64>,
    used: Vec<u64>,
    peak: Vec<u64>,
    overcommits: u64,
}

impl AcceleratorMemory {
    pub fn new(capacity: Vec<u64>) -> Self {
        AcceleratorMemory {
            used: vec![0; capacity.len()],
            peak: vec![0; capacity.len()],
            capacity,
            overcommits: 0,
        }
    }

    pub fn accelerators(&self) -> usize {
        self.capacity.len()
    }

    /// Reserves memory. If it does not fit, counts an overcommit, reserves nothing and returns false.
    pub fn reserve(&mut self, wanted: &Reservation) -> bool {
        let fits = wanted
            .per_accelerator
            .iter()
            .all(|(index, bytes)| self.fits(*index, *bytes));
        if !fits {
            self.overcommits += 1;
            return false;
        }
        for (index, bytes) in &wanted.per_accelerator {
            self.used[*index] += bytes;
            self.peak[*index] = self.peak[*index].max(self.used[*index]);
        }
        true
    }

    pub fn release(&mut self, held: &Reservation) {
        for (index, bytes) in &held.per_accelerator {
            self.used[*index] = self.used[*index].saturating_sub(*bytes);
        }
    }

    /// Capacity of each accelerator in bytes.
    pub fn capacity(&self) -> &[u64] {
        &self.capacity
    }

    /// Used bytes of each accelerator.
    pub fn used(&self) -> &[u64] {
        &self.used
    }

    /// Peak used bytes of each accelerator.
    pub fn peak(&self) -> &[u64] {
        &self.peak
    }

    /// Number of reservations refused because they did not fit.
    pub fn overcommits(&self) -> u64 {
        self.overcommits
    }

    fn fits(&self, index: usize, bytes: u64) -> bool {
        let Some(capacity) = self.capacity.get(index) else {
            return false;
        };
        bytes <= capacity - self.used[index]
    }
}
