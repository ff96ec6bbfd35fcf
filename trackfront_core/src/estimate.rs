//! Estimates from measurements: exponentially weighted means and linear regressions.

/// The weight of a new sample in a mean.
const MEAN_WEIGHT: f64 = 0.1;

/// The factor by which each sample reduces the weight of the earlier ones in a line.
const LINE_DECAY: f64 = 0.98;

/// The minimum weight of all samples for a slope other than zero.
const MIN_LINE_SAMPLES: f64 = 8.0;

/// An exponentially weighted mean.
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

/// An exponentially weighted linear regression.
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
    /// is negative, since both are costs.
    pub fn at(&self, x: f64) -> Option<f64> {
        if self.count == 0.0 {
            return None;
        }
        let (mean_x, mean_y) = (self.x / self.count, self.y / self.count);
        Some((mean_y + self.slope() * (x - mean_x)).max(0.0))
    }

    /// Returns the `x` at which the line has the value `y`; `None` while its slope is zero.
    pub fn x_of(&self, y: f64) -> Option<f64> {
        let slope = self.slope();
        if slope <= 0.0 {
            return None;
        }
        let (mean_x, mean_y) = (self.x / self.count, self.y / self.count);
        Some(mean_x + (y - mean_y) / slope)
    }

    fn slope(&self) -> f64 {
        if self.count < MIN_LINE_SAMPLES {
            return 0.0;
        }
        let (mean_x, mean_y) = (self.x / self.count, self.y / self.count);
        let variance = self.xx / self.count - mean_x * mean_x;
        if variance < 1e-6 {
            return 0.0;
        }
        ((self.xy / self.count - mean_x * mean_y) / variance).max(0.0)
    }
}

#[cfg(test)]
mod tests;
