"""Draws docs/routing-*.svg from rows of `scripts/bench routing`: the p95 time to
first token by prompt length, a bar a policy, on a logarithmic scale."""

import math
import pathlib
import sys

POLICIES = ("random", "round_robin", "least_requests", "two_choices",
            "predicted")
COLOURS = ("#bbbbbb", "#999999", "#d9a441", "#5b8db8", "#2f7d4f")
LENGTHS = ("1k", "10k", "100k", "1M")
WIDTH, HEIGHT, LEFT, BOTTOM = 640, 320, 50, 40
LEAST, MOST = 0.05, 200.0


def read_rows(path):
    for line in pathlib.Path(path).read_text().splitlines():
        yield dict(part.split("=", 1) for part in line.split())


def height_of(seconds):
    """Height of a bar in pixels."""
    part = (math.log10(max(seconds, LEAST)) - math.log10(LEAST)) / (
        math.log10(MOST) - math.log10(LEAST))
    return part * (HEIGHT - BOTTOM - 20)


def draw(mix, rows):
    """One picture of a mix with 8 instances."""
    out = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" '
           f'height="{HEIGHT}" font-family="sans-serif" font-size="11">',
           f'<text x="{LEFT}" y="14">{mix}, 8 instances: p95 seconds to the '
           f'first token</text>']
    base = HEIGHT - BOTTOM
    for mark in (0.1, 1, 10, 100):
        y = base - height_of(mark)
        out.append(f'<line x1="{LEFT}" x2="{WIDTH}" y1="{y:.0f}" y2="{y:.0f}" '
                   f'stroke="#ddd"/><text x="10" y="{y + 4:.0f}">{mark}</text>')
    group = (WIDTH - LEFT) / len(LENGTHS)
    bar = group / (len(POLICIES) + 1)
    for i, length in enumerate(LENGTHS):
        x = LEFT + i * group
        out.append(f'<text x="{x + group / 3:.0f}" y="{base + 14}">{length}'
                   f'</text>')
        for j, policy in enumerate(POLICIES):
            seconds = float(rows[policy][f"ttft_p95_{length}"])
            height = height_of(seconds) if seconds else 0
            out.append(f'<rect x="{x + j * bar:.0f}" y="{base - height:.0f}" '
                       f'width="{bar - 2:.0f}" height="{height:.0f}" '
                       f'fill="{COLOURS[j]}"/>')
    for j, policy in enumerate(POLICIES):
        x = LEFT + j * 115
        out.append(f'<rect x="{x}" y="{HEIGHT - 14}" width="10" height="10" '
                   f'fill="{COLOURS[j]}"/><text x="{x + 14}" '
                   f'y="{HEIGHT - 5}">{policy}</text>')
    return "\n".join(out + ["</svg>\n"])


def table(rows):
    """The rows as a table in Markdown, for docs/ROUTING.md."""
    lines = ["| mix | instances | policy | short_slowdown | p95 1k | p95 10k | "
             "p95 100k | p95 1M | late | refused |",
             "| --- | ---: | --- | ---: | ---: | ---: | ---: | ---: | ---: | "
             "---: |"]
    for row in rows:
        if row["policy"] not in POLICIES or row["policy"] == "round_robin":
            continue
        figures = " | ".join(row[f"ttft_p95_{length}"] for length in LENGTHS)
        lines.append(f"| {row['mix']} | {row['instances']} | {row['policy']} | "
                     f"{row['short_slowdown']} | {figures} | "
                     f"{row['missed_deadlines']} | {row['refused']} |")
    return "\n".join(lines)


def main():
    rows = list(read_rows(sys.argv[1]))
    docs = pathlib.Path(sys.argv[2])
    by_mix = {}
    for row in rows:
        if row["instances"] == "8":
            by_mix.setdefault(row["mix"], {})[row["policy"]] = row
    for mix, policies in by_mix.items():
        (docs / f"routing-{mix}.svg").write_text(draw(mix, policies))
    print(table(rows))


if __name__ == "__main__":
    main()
