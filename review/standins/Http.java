import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from a socket. */
final class Http {
    private Http() {}

    /** Start line and headers, with names in lower case. */
    record Head(String line, Map<String, String> headers) {
        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }
    }

    /** Returns the next head, or null if the connection ends before its first byte. */
    static Head readHead(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int last = 0;
        while (last != 0x0d0a0d0a) {
            int next = in.read();
            if (next < 0 && bytes.size() == 0) return null;
            if (next < 0) throw new IOException("connection ended inside a head");
            bytes.write(next);
            last = last << 8 | next;
        }
        String[] lines = bytes.toString(StandardCharsets.ISO_8859_1).split("\r\n");
        Map<String, String> headers = new LinkedHashMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            headers.put(lines[i].substring(0, colon).toLowerCase(Locale.ROOT), lines[i].substring(colon + 1).trim());
        }
        return new Head(lines[0], headers);
    }

    /** A body, and whether its end was marked as the head announced. */
    record Body(byte[] bytes, boolean isComplete, String end) {}

    /** Reads the body that [head] announces. One without a length ends with the connection. */
    static Body readBody(InputStream in, Head head) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            if ("chunked".equalsIgnoreCase(head.header("transfer-encoding"))) {
                while (true) {
                    int size = Integer.parseInt(readLine(in).split(";")[0].trim(), 16);
                    if (size == 0) {
                        while (!readLine(in).isEmpty()) continue;
                        return new Body(out.toByteArray(), true, "last chunk");
                    }
                    copy(in, out, size);
                    readLine(in);
                }
            }
            if (head.header("content-length") != null) {
                copy(in, out, Long.parseLong(head.header("content-length")));
                return new Body(out.toByteArray(), true, "content-length");
            }
            int next;
            while ((next = in.read()) >= 0) out.write(next);
            return new Body(out.toByteArray(), true, "end of the connection");
        } catch (IOException | NumberFormatException e) {
            return new Body(out.toByteArray(), false, e.toString());
        }
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            int next = in.read();
            if (next < 0) throw new IOException("connection ended inside a body");
            if (next == '\n') return line.toString();
            if (next != '\r') line.append((char) next);
        }
    }

    private static void copy(InputStream in, ByteArrayOutputStream out, long count) throws IOException {
        byte[] buffer = new byte[65_536];
        while (count > 0) {
            int read = in.read(buffer, 0, (int) Math.min(buffer.length, count));
            if (read < 0) throw new IOException("connection ended inside a body");
            out.write(buffer, 0, read);
            count -= read;
        }
    }
}
