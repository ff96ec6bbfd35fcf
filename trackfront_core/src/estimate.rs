//! Estimates learned from what was measured: means and lines that forget slowly.

/// The weight that a new sample has in a mean.
const MEAN_WEIGHT: f64 = 0.1;

/// The share by which a line's older samples lose weight with each new one.
const LINE_DECAY: f64 = 0.98;

/// How many samples, with decay, a line needs before its slope counts.
const LINE_SAMPLES: f64 = 8.0;

/// A mean that forgets slowly.
#[derive(Clone, Copy, Debug, Default)]
pub struct Mean {
    value: Option<f64>,
}

impl Mean {
    /// Adds a sample.
    pub fn add(&mut self, sample: f64) {
        let value = self.value.map_or(sample, |value| value + MEAN_WEIGHT * (sample - value));
        self.value = Some(value);
    }

    /// Returns the mean; `None` before the first sample.
    pub fn get(&self) -> Option<f64> {
        self.value
    }
}

/// A straight line through samples that forgets slowly.
#[derive(Clone, Copy, Debug, Default)]
pub struct Line {
    count: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl Line {
    /// Adds a sample.
    pub fn add(&mut self, x: f64, y: f64) {
        for sum in [&mut self.count, &mut self.x, &mut self.y, &mut self.xx, &mut self.xy] {
            *sum *= LINE_DECAY;
        }
        self.count += 1.0;
        self.x += x;
        self.y += y;
        self.xx += x * x;
        self.xy += x * y;
    }

    /// Returns the value at `x`; `None` before the first sample. Neither the slope nor the value
    /// goes below zero, since both stand for costs.
    pub fn at(&self, x: f64) -> Option<f64> {
        if self.count == 0.0 {
            return None;
        }
        let (mean_x, mean_y) = (self.x / self.count, self.y / self.count);
        Some((mean_y + self.slope() * (x - mean_x)).max(0.0))
    }

    /// Returns where the line has the value `y`; `None` while it has no slope.
    pub fn x_of(&self, y: f64) -> Option<f64> {
        let slope = self.slope();
        if slope <= 0.0 {
            return None;
        }
        let (mean_x, mean_y) = (self.x / self.count, self.y / self.count);
        Some(mean_x + (y - mean_y) / slope)
    }

    fn slope(&self) -> f64 {
        if self.count < LINE_SAMPLES {
            return 0.0;
        }
        let (mean_x, mean_y) = (self.x / self.count, self.y / self.count);
        let spread = self.xx / self.count - mean_x * mean_x;
        if spread < 1e-6 {
            return 0.0;
        }
        ((self.xy / self.count - mean_x * mean_y) / spread).max(0.0)
    }
}

#[cfg(test)]
mod tests;
