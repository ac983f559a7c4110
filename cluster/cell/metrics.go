package cell

import "time"

// updateGauges updates the gauges: the number of owned shards, the version of the configuration, and the ages
// of the configuration, the last store reply and the worker lists.
func (d *Daemon) updateGauges() {
	config := d.config.Load()
	d.cfg.Metrics.Gauge("config_version").Update(float64(config.snapshot.Version))
	if !config.readAt.IsZero() {
		d.cfg.Metrics.Gauge("config_age_seconds").Update(time.Since(config.readAt).Seconds())
	}
	if age, ok := d.store.replyAge(); ok {
		d.cfg.Metrics.Gauge("store_answer_age_seconds").Update(age.Seconds())
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cfg.Metrics.Gauge("owned_pools").Update(float64(len(d.ownedShards)))
	for id, owned := range d.ownedShards {
		if listedAt := owned.workersListedAt.Load(); listedAt != 0 {
			age := time.Since(time.UnixMilli(listedAt))
			d.cfg.Metrics.Tagged(map[string]string{"shard": id.String()}).Gauge("worker_list_age_seconds").Update(age.Seconds())
		}
	}
}
