"""Shard placement, sampled key popularity, and forecasts of the cache hit ratio after a change of placement.

* Placement: `rendezvous` maps keys to shards and shards to servers, `shard_router` routes one node's keys
  while its placement changes, and `subsets` and `shard_traffic` compute the traffic of the entire fleet.
* Popularity: `key_sample` counts requests by key, `key_digest` merges counts, `key_records` encodes them for
  other nodes, and `popularity` estimates request rates.
* Forecast: `forecaster` is built on `cache_model` and `server_keys`; `accuracy` compares forecasts with the
  hit ratios that are observed; `migration` decides by a forecast how a change is made.

The package performs no I/O and uses neither a clock nor randomness. Long work is done by generators
(`sliced_work`).
"""
