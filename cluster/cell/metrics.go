package cell

import "time"

// reportAges sets the gauges of what this daemon believes and how old it is.
func (d *Daemon) reportAges() {
	config := d.config.Load()
	d.cfg.Metrics.Gauge("config_version").Update(float64(config.snapshot.Version))
	if !config.read.IsZero() {
		d.cfg.Metrics.Gauge("config_age_seconds").Update(time.Since(config.read).Seconds())
	}
	if age, ok := d.store.age(); ok {
		d.cfg.Metrics.Gauge("store_answer_age_seconds").Update(age.Seconds())
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cfg.Metrics.Gauge("owned_pools").Update(float64(len(d.pools)))
	for id, p := range d.pools {
		if listed := p.listed.Load(); listed != 0 {
			age := time.Since(time.UnixMilli(listed))
			d.cfg.Metrics.Tagged(map[string]string{"shard": id.String()}).Gauge("worker_list_age_seconds").Update(age.Seconds())
		}
	}
}
