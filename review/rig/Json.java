import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer: maps, lists, strings, Long, Double, Boolean and null. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        Json json = new Json(text);
        Object value = json.value();
        json.space();
        if (json.at != text.length()) throw new IllegalArgumentException("text after the value");
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        Object value = parse(text);
        if (!(value instanceof Map)) throw new IllegalArgumentException("not an object");
        return (Map<String, Object>) value;
    }

    /** A map of alternating keys and values. */
    static Map<String, Object> map(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) map.put((String) pairs[i], pairs[i + 1]);
        return map;
    }

    @SuppressWarnings("unchecked")
    static List<Map<String, Object>> list(Object value) {
        return value == null ? List.of() : (List<Map<String, Object>>) value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> map(Object value) {
        return (Map<String, Object>) value;
    }

    static long integer(Object value) {
        return ((Number) value).longValue();
    }

    static double number(Object value) {
        return ((Number) value).doubleValue();
    }

    private void space() {
        while (at < text.length() && text.charAt(at) <= ' ') at++;
    }

    private char next() {
        space();
        if (at >= text.length()) throw new IllegalArgumentException("text ends early");
        return text.charAt(at);
    }

    private Object value() {
        switch (next()) {
            case '{' -> {
                Map<String, Object> map = new LinkedHashMap<>();
                at++;
                if (next() == '}') {
                    at++;
                    return map;
                }
                while (true) {
                    if (next() != '"') throw new IllegalArgumentException("no key");
                    String key = string();
                    if (next() != ':') throw new IllegalArgumentException("no colon");
                    at++;
                    map.put(key, value());
                    char c = next();
                    at++;
                    if (c == '}') return map;
                    if (c != ',') throw new IllegalArgumentException("no comma");
                }
            }
            case '[' -> {
                List<Object> list = new ArrayList<>();
                at++;
                if (next() == ']') {
                    at++;
                    return list;
                }
                while (true) {
                    list.add(value());
                    char c = next();
                    at++;
                    if (c == ']') return list;
                    if (c != ',') throw new IllegalArgumentException("no comma");
                }
            }
            case '"' -> {
                return string();
            }
            default -> {
                int from = at;
                while (at < text.length() && "{}[],: \t\r\n".indexOf(text.charAt(at)) < 0) at++;
                String word = text.substring(from, at);
                return switch (word) {
                    case "null" -> null;
                    case "true" -> Boolean.TRUE;
                    case "false" -> Boolean.FALSE;
                    default ->
                            word.matches("-?[0-9]+")
                                    ? (Object) Long.valueOf(word)
                                    : (Object) Double.valueOf(word);
                };
            }
        }
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        at++;
        while (true) {
            char c = text.charAt(at++);
            if (c == '"') return out.toString();
            if (c != '\\') {
                out.append(c);
                continue;
            }
            char e = text.charAt(at++);
            switch (e) {
                case 'n' -> out.append('\n');
                case 't' -> out.append('\t');
                case 'r' -> out.append('\r');
                case 'b' -> out.append('\b');
                case 'f' -> out.append('\f');
                case 'u' -> {
                    out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                }
                default -> out.append(e);
            }
        }
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            out.append('{');
            String separator = "";
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.append(separator);
                write(entry.getKey(), out);
                out.append(':');
                write(entry.getValue(), out);
                separator = ",";
            }
            out.append('}');
        } else if (value instanceof Iterable<?> list) {
            out.append('[');
            String separator = "";
            for (Object item : list) {
                out.append(separator);
                write(item, out);
                separator = ",";
            }
            out.append(']');
        } else if (value instanceof String text) {
            out.append('"');
            for (char c : text.toCharArray()) {
                if (c == '"' || c == '\\') out.append('\\').append(c);
                else if (c < ' ') out.append(String.format("\\u%04x", (int) c));
                else out.append(c);
            }
            out.append('"');
        } else {
            out.append(value);
        }
    }
}
