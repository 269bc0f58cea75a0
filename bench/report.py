"""Prints and draws a report of bench.py."""

FIGURES = [
    "name", "nodes", "seed", "faults", "convergence_p50_ms",
    "convergence_p99_ms", "convergence_max_ms", "control_bytes_per_node_s",
    "control_bytes_per_change", "platform_reads_per_s",
    "platform_writes_per_s", "calls", "added_p50_us", "added_p99_us",
    "goodput_ratio_at_2x", "good_moves", "good_moves_in_time", "bad_moves",
    "bad_moves_taken_back", "bad_share_max", "bad_last_call_ms",
    "double_runs", "false_not_run", "wrong_answers", "cut_requests",
    "version_regressions", "dangling_routes", "untrue_status_lines",
    "node_rss_max_bytes", "node_cpu_pct"]


def show(value):
    if value is None:
        return "-"
    if isinstance(value, float):
        return "%.2f" % value if abs(value) < 100 else "%.0f" % value
    if isinstance(value, list):
        return ",".join(str(v) for v in value)
    return str(value)


def print_table(report):
    """One block a run; figures that were not measured are left out."""
    for run in report["runs"]:
        print("\n%s" % run["name"])
        for key, value in run.items():
            if key != "name" and value is not None and value != []:
                print("  %-28s %s" % (key, show(value)))
    for entry in report.get("failed", []):
        print("\nFAILED %s: %s" % (entry["name"], entry["reason"]))
    for name in report.get("skipped", []):
        print("\nNOT RUN %s: time limit" % name)


def bars(runs, key, top):
    """SVG of one figure as horizontal bars; returns (text, height)."""
    rows = [(r["name"], r[key]) for r in runs if r.get(key) is not None]
    if not rows:
        return "", 0
    high = max(max(v for _, v in rows), 1e-9)
    out = ['<text x="10" y="%d" font-weight="bold">%s</text>' % (top + 16,
                                                                 key)]
    y = top + 24
    for name, value in rows:
        out.append('<text x="10" y="%d">%s</text>' % (y + 12, name))
        out.append('<rect x="160" y="%d" width="%.1f" height="12" '
                   'fill="#4477aa"/>' % (y + 2, max(0, 440 * value / high)))
        out.append('<text x="%.1f" y="%d">%s</text>' %
                   (166 + max(0, 440 * value / high), y + 12, show(value)))
        y += 17
    return "\n".join(out), y - top + 10


def write_svg(report, path):
    top = 0
    parts = []
    for key in ("convergence_p99_ms", "control_bytes_per_node_s",
                "control_bytes_per_change", "node_cpu_pct",
                "node_rss_max_bytes"):
        text, height = bars(report["runs"], key, top)
        parts.append(text)
        top += height
    with open(path, "w") as fp:
        fp.write('<svg xmlns="http://www.w3.org/2000/svg" width="720" '
                 'height="%d" font-family="sans-serif" font-size="11">\n%s\n'
                 '</svg>\n' % (top + 10, "\n".join(parts)))
