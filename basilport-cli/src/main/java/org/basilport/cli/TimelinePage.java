package org.basilport.cli;

import com.google.common.html.HtmlEscapers;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.basilport.daemon.MergedTimeline;

/** Renders a merged timeline as a self-contained HTML page with an SVG plot. */
final class TimelinePage {
  private static final int WIDTH = 1_100;
  private static final int LABEL_WIDTH = 120;
  private static final int LANE_HEIGHT = 28;
  private static final int MARK_RADIUS = 4;
  private static final int EVENT_NUMBERS_PER_COLOUR = 1_000;
  private static final String[] COLOURS = {
    "#777777", "#555555", "#1f77b4", "#9467bd", "#2ca02c", "#ff7f0e", "#8c564b", "#e377c2",
    "#17becf", "#d62728"
  };

  private final List<MergedTimeline.Entry> entries;
  private final List<String> lanes;
  private final long firstMillis;
  private final long spanMillis;

  TimelinePage(MergedTimeline timeline) {
    entries = timeline.entries();
    lanes =
        new ArrayList<>(entries.stream().map(MergedTimeline.Entry::instanceId).distinct().toList());
    lanes.sort(null);
    firstMillis = entries.isEmpty() ? 0 : entries.get(0).millis();
    long lastMillis = entries.isEmpty() ? 0 : entries.get(entries.size() - 1).millis();
    spanMillis = Math.max(1, lastMillis - firstMillis);
  }

  String render() {
    StringBuilder page = new StringBuilder();
    page.append("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">");
    page.append("<title>basilport timeline</title><style>body{font:13px sans-serif}");
    page.append("td{padding:1px 8px;white-space:nowrap}</style></head><body>\n");
    appendPlot(page);
    page.append("<table>\n");
    entries.forEach(entry -> appendRow(page, entry));
    return page.append("</table></body></html>\n").toString();
  }

  private void appendPlot(StringBuilder page) {
    int height = (lanes.size() + 1) * LANE_HEIGHT;
    page.append(String.format("<svg width=\"%d\" height=\"%d\">%n", WIDTH, height));
    for (int lane = 0; lane < lanes.size(); lane++) {
      int y = laneCentre(lane);
      page.append(
          String.format(
              "<text x=\"0\" y=\"%d\">%s</text>"
                  + "<line x1=\"%d\" y1=\"%d\" x2=\"%d\" y2=\"%d\" stroke=\"#dddddd\"/>%n",
              y + MARK_RADIUS, escape(lanes.get(lane)), LABEL_WIDTH, y, WIDTH, y));
    }
    entries.forEach(entry -> appendMark(page, entry));
    page.append("</svg>\n");
  }

  private void appendMark(StringBuilder page, MergedTimeline.Entry entry) {
    double fraction = (double) (entry.millis() - firstMillis) / spanMillis;
    double x = LABEL_WIDTH + MARK_RADIUS + fraction * (WIDTH - LABEL_WIDTH - 2 * MARK_RADIUS);
    page.append(
        String.format(
            Locale.ROOT,
            "<circle cx=\"%.1f\" cy=\"%d\" r=\"%d\" fill=\"%s\"><title>%s</title></circle>%n",
            x,
            laneCentre(lanes.indexOf(entry.instanceId())),
            MARK_RADIUS,
            colour(entry.number()),
            escape("+" + (entry.millis() - firstMillis) + " ms " + entry.text())));
  }

  private void appendRow(StringBuilder page, MergedTimeline.Entry entry) {
    page.append(
        String.format(
            "<tr><td>%s</td><td>%s</td><td style=\"color:%s\">%d</td><td>%s</td></tr>%n",
            Instant.ofEpochMilli(entry.millis()),
            escape(entry.instanceId()),
            colour(entry.number()),
            entry.number(),
            escape(entry.text())));
  }

  private static int laneCentre(int lane) {
    return lane * LANE_HEIGHT + LANE_HEIGHT / 2;
  }

  private static String colour(int number) {
    return COLOURS[Math.min(COLOURS.length - 1, number / EVENT_NUMBERS_PER_COLOUR)];
  }

  private static String escape(String text) {
    return HtmlEscapers.htmlEscaper().escape(text);
  }
}
