"""Parsing of figures printed by scripts/bench.sh, and Markdown formatting."""


class Figures:
    """Measured figures, indexed by name and by the sizes on the same line."""

    def __init__(self, text):
        self.rows = []
        self.runs = []
        for line in text.splitlines():
            if line.startswith("# "):
                self.runs.append(line[2:])
            elif line.startswith("figure="):
                self.rows.append(dict(part.split("=", 1)
                                      for part in line.split() if "=" in part))

    def matching_rows(self, name, **sizes):
        return [row for row in self.rows if row["figure"] == name
                and all(row.get(key) == str(size)
                        for key, size in sizes.items())]

    def value(self, name, **sizes):
        """Returns the last value of a figure; None if it was not measured."""
        rows = self.matching_rows(name, **sizes)
        return float(rows[-1]["value"]) if rows else None

    def largest_row(self, name, size_key, **sizes):
        """Returns the row with the greatest size; None if there is none."""
        rows = self.matching_rows(name, **sizes)
        return (max(rows, key=lambda row: float(row[size_key])) if rows
                else None)


def format_number(value):
    if value is None:
        return "not measured"
    if abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def markdown_table(header, rows):
    lines = ["| " + " | ".join(header) + " |", "|" + " --- |" * len(header)]
    lines += ["| " + " | ".join(str(cell) for cell in row) + " |"
              for row in rows]
    return "\n".join(lines) + "\n"


def sum_values(rows):
    """Sums (label, value, ...) rows; skips rows that were not measured."""
    return sum(row[1] for row in rows if row[1] is not None)
