import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Parses JSON into maps, lists, strings, numbers, booleans and null. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static List<Map<String, Object>> objects(Object parent, String name) {
        Object list = ((Map<String, Object>) parent).get(name);
        return list == null ? List.of() : (List<Map<String, Object>>) list;
    }

    static String quote(String value) {
        return "\"" + value.replace("\\", "\\\\").replace("\"", "\\\"") + "\"";
    }

    private char peek() {
        while (Character.isWhitespace(text.charAt(at))) at++;
        return text.charAt(at);
    }

    private Object value() {
        char next = peek();
        if (next == '{') {
            Map<String, Object> map = new LinkedHashMap<>();
            at++;
            while (peek() != '}') {
                String name = string();
                peek();
                at++;
                map.put(name, value());
                if (peek() == ',') at++;
            }
            at++;
            return map;
        }
        if (next == '[') {
            List<Object> list = new ArrayList<>();
            at++;
            while (peek() != ']') {
                list.add(value());
                if (peek() == ',') at++;
            }
            at++;
            return list;
        }
        if (next == '"') return string();
        int start = at;
        while (at < text.length() && ",]}".indexOf(text.charAt(at)) < 0 && !Character.isWhitespace(text.charAt(at))) at++;
        String word = text.substring(start, at);
        if (word.equals("true")) return true;
        if (word.equals("false")) return false;
        if (word.equals("null")) return null;
        return Double.parseDouble(word);
    }

    private String string() {
        peek();
        StringBuilder result = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char next = text.charAt(at++);
            if (next == '\\') {
                char escaped = text.charAt(at++);
                if (escaped == 'u') {
                    result.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                } else {
                    result.append(escaped == 'n' ? '\n' : escaped == 't' ? '\t' : escaped == 'r' ? '\r' : escaped);
                }
            } else {
                result.append(next);
            }
        }
        at++;
        return result.toString();
    }
}
