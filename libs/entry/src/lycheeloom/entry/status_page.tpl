<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<meta http-equiv="refresh" content="5">
<title>{{status.name}} on {{status.instance or status.incarnation}}</title>
<style>
body { font: 15px/1.4 system-ui, sans-serif; margin: 0 auto; max-width: 60em; padding: 8px; color: #222; background: #fff; overflow-wrap: break-word; }
h1 { font-size: 1.3em; margin: 0.2em 0; }
h2 { font-size: 1.1em; margin: 1.2em 0 0.3em; }
table { border-collapse: collapse; width: 100%; font-size: 0.85em; }
th, td { text-align: right; padding: 3px 3px; border-bottom: 1px solid #ddd; font-variant-numeric: tabular-nums; }
th:first-child, td:first-child { text-align: left; }
td + td { white-space: nowrap; }
th { font-weight: 600; color: #555; overflow-wrap: normal; }
ul.warnings { list-style: none; padding: 0; }
ul.warnings li { background: #fff3d6; border-left: 4px solid #c77700; padding: 6px 8px; margin: 4px 0; }
.good { color: #17692b; }
.bad { color: #a11; }
progress { width: 100%; }
p { margin: 0.3em 0; }
</style>
</head>
<body>
<h1>{{status.name}}</h1>
<p>Entry {{status.instance}} ({{status.incarnation}}) in zone {{status.zone}},
<span class="{{'good' if status.fresh else 'bad'}}">{{'fresh' if status.fresh else 'not fresh'}}</span>.</p>
<p>Configuration version {{status.config_version}}. Log read {{duration(None if status.log_age_ms is None else status.log_age_ms / 1000)}} ago, next offset {{status.next_offset}}.</p>
% if warnings:
<ul class="warnings">
% for warning in warnings:
<li>{{warning}}</li>
% end
</ul>
% end
<h2>Organisations</h2>
<table>
<tr><th>Organisation</th><th>Running</th><th>Limit</th><th>Queued</th><th>Uses</th><th>Due</th><th>State</th></tr>
% for name, organisation in status.organisations.items():
<tr><td>{{name}}</td><td>{{organisation.running}}</td><td>{{organisation.upper_limit}}</td><td>{{organisation.queued}}</td><td>{{percent(organisation.dominant_share)}}</td><td>{{percent(organisation.entitlement)}}</td><td>{{level(organisation)}}</td></tr>
% end
</table>
<h2>Queues</h2>
<table>
<tr><th>Queue</th><th>Running</th><th>Queued</th><th>Bound</th><th>Oldest</th></tr>
% for name, queue in status.queues.items():
<tr><td>{{name}}</td><td>{{queue.running}}</td><td>{{queue.queued}}</td><td>{{queue.max_queued}}</td><td>{{duration(queue.oldest_wait_ms / 1000)}}</td></tr>
% end
</table>
<h2>Zones</h2>
<table>
<tr><th>Zone</th><th>State</th><th>In service</th><th>Workers</th></tr>
% for name, zone in status.zones.items():
<tr><td>{{name}}</td><td class="{{'good' if zone.state == 'in' else 'bad'}}">{{zone.state}}</td><td>{{zone.in_service}}</td><td>{{zone.workers}}</td></tr>
% end
</table>
<h2>Pools</h2>
<table>
<tr><th>Pool</th><th>In service</th><th>Workers</th><th>Needed</th><th>Buffer</th><th>Wanted</th></tr>
% for name, pool in status.pools.items():
<tr><td>{{name}}{{' (spare)' if pool.spare else ''}}</td><td class="{{'bad' if pool.in_service < pool.needed else 'good'}}">{{pool.in_service}}</td><td>{{pool.workers}}</td><td>{{pool.needed}}</td><td>{{pool.buffer}}</td><td>{{pool.buffer_wanted}}</td></tr>
% end
</table>
% if status.waves:
<h2>Maintenance waves</h2>
% for name, wave in status.waves.items():
<p>{{name}}: {{wave.state}}, {{wave.done}} of {{wave.total}} instances maintained, {{wave.in_progress}} in progress, {{wave.failed}} failed{{wave_end(wave)}}. {{wave.reason}}</p>
<progress max="{{max(wave.total, 1)}}" value="{{wave.done}}"></progress>
% end
% end
<h2>Entries</h2>
<table>
<tr><th>Instance</th><th>Zone</th><th>State</th><th>Heard</th></tr>
% for member in status.members:
<tr><td>{{member.instance or member.incarnation}}</td><td>{{member.zone}}</td><td class="{{'good' if member.state == 'live' else 'bad'}}">{{member.state}}</td><td>{{'here' if member.incarnation == status.incarnation else duration(None if member.heard_ms is None else member.heard_ms / 1000)}}</td></tr>
% end
</table>
</body>
</html>
